//! Tenants' quotas: requests of a tenant over its quota are rejected first.

use crate::common::*;
use crate::support::*;
use tillerproxy::api::*;

/// Returns a request of this tenant, of class 0.
fn request_of_tenant(tenant: u16, id: u32) -> Request {
    Request {
        tenant: TenantIndex(tenant),
        ..request(id, 0)
    }
}

#[test]
fn capacity_is_reserved_for_requests_within_their_tenants_quota() {
    let tenants = vec![
        Tenant { quota_per_s: 1.0 },
        Tenant {
            quota_per_s: 1000.0,
        },
    ];
    let settings = Settings {
        tenants,
        ..single_zone_settings()
    };
    let mut proxy = SimulatedProxy::new(settings, single_zone_backends(4));
    run_load(&mut proxy, 10_000, 100, 2, |_| 20 * MS);
    proxy.serve(|_| 0);
    let mut over_quota_id = 0;
    while sent_to(&proxy.submit(request_of_tenant(0, over_quota_id))).is_some() {
        over_quota_id += 1;
    }
    let within_quota = sent_to(&proxy.submit(request_of_tenant(1, 9000)));
    assert!(
        within_quota.is_some(),
        "expected capacity for a request within its quota after requests over theirs found none"
    );
}

/// Guards against counting a tenant as over its quota only because this proxy receives more than its part of all
/// requests.
#[test]
fn a_tenant_with_few_requests_is_not_over_its_quota_when_another_tenant_floods_the_proxy() {
    const MODEST_TENANT: u16 = 0;
    const FLOODING_TENANT: u16 = 1;
    let tenants = vec![Tenant { quota_per_s: 100.0 }, Tenant { quota_per_s: 100.0 }];
    let settings = Settings {
        tenants,
        proxy_count: 100,
        ..single_zone_settings()
    };
    let mut proxy = SimulatedProxy::new(settings, single_zone_backends(40));
    let mut not_rejected = [0, 0];
    for tick in 0..100 {
        let first_id = tick * 100;
        for id in first_id..first_id + 20 {
            proxy.submit(request_of_tenant(FLOODING_TENANT, id));
        }
        for (tenant, id) in [
            (MODEST_TENANT, first_id + 50),
            (FLOODING_TENANT, first_id + 51),
        ] {
            let actions = proxy.submit(request_of_tenant(tenant, id));
            not_rejected[usize::from(tenant)] += usize::from(!is_rejected(&actions));
        }
        proxy.advance(20 * MS);
        proxy.serve(|_| 400 * MS);
    }
    assert!(
        not_rejected[usize::from(MODEST_TENANT)] > 95,
        "expected more than 95 requests of the modest tenant to be sent or queued: {not_rejected:?}"
    );
    assert!(
        not_rejected[usize::from(FLOODING_TENANT)] < 60,
        "expected fewer than 60 requests of the flooding tenant to be sent or queued: {not_rejected:?}"
    );
}
