//! Tenants' quotas: requests over a quota give way first.

use crate::common::*;
use crate::support::*;
use tillerproxy::api::*;

fn of_tenant(tenant: u16, id: u32) -> Request {
    Request {
        tenant: TenantIndex(tenant),
        ..request(id, 0)
    }
}

#[test]
fn requests_over_their_tenants_quota_give_way_first() {
    let tenants = vec![
        Tenant { quota_per_s: 1.0 },
        Tenant {
            quota_per_s: 1000.0,
        },
    ];
    let settings = Settings {
        tenants,
        ..single_zone()
    };
    let mut proxy = SimulatedProxy::new(settings, single_zone_backends(4));
    run_load(&mut proxy, 10_000, 100, 2, |_| 20 * MS);
    proxy.serve(|_| 0);
    let mut over_quota_id = 0;
    while sent_to(&proxy.submit(of_tenant(0, over_quota_id))).is_some() {
        over_quota_id += 1;
    }
    let within_quota = sent_to(&proxy.submit(of_tenant(1, 9000)));
    assert!(
        within_quota.is_some(),
        "capacity is left for those within their quota"
    );
}

/// Guards against a tenant counting as over its quota only because this proxy gets more than its part of all requests.
#[test]
fn a_tenant_that_uses_less_of_its_quota_than_others_is_not_over_it() {
    const MODEST: u16 = 0;
    const FLOODING: u16 = 1;
    let tenants = vec![Tenant { quota_per_s: 100.0 }, Tenant { quota_per_s: 100.0 }];
    let settings = Settings {
        tenants,
        proxy_count: 100,
        ..single_zone()
    };
    let mut proxy = SimulatedProxy::new(settings, single_zone_backends(40));
    let mut not_rejected = [0, 0];
    for tick in 0..100 {
        let first_id = tick * 100;
        for id in first_id..first_id + 20 {
            proxy.submit(of_tenant(FLOODING, id));
        }
        for (tenant, id) in [(MODEST, first_id + 50), (FLOODING, first_id + 51)] {
            let actions = proxy.submit(of_tenant(tenant, id));
            not_rejected[usize::from(tenant)] += usize::from(!is_rejected(&actions));
        }
        proxy.advance(20 * MS);
        proxy.serve(|_| 400 * MS);
    }
    assert!(
        not_rejected[usize::from(MODEST)] > 95,
        "the modest tenant is sent or queued, not rejected at once: {not_rejected:?}"
    );
    assert!(
        not_rejected[usize::from(FLOODING)] < 60,
        "the flood gives way: {not_rejected:?}"
    );
}
