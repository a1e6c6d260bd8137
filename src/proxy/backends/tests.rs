use super::Fleet;
use crate::api::Readiness;
use crate::proxy::counters::Counters;
use std::net::SocketAddr;

#[test]
fn backends_that_are_gone_are_forgotten() {
    let fleet = Fleet::new(10, 1, 1, Vec::new(), Counters::new(&[]));
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    for id in 0..100 {
        fleet.update(id, address, Readiness::Ready, None);
        if id % 2 == 0 {
            fleet.update(id, address, Readiness::Removed, None);
        } else {
            fleet.retain(|listed| listed > id);
        }
    }
    assert_eq!(fleet.endpoints.borrow().len(), 0);
}
