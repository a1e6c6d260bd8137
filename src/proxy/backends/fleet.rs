//! The endpoints that discovery lists.

use super::pool::Idle;
use super::stray_bytes::StrayBytes;
use crate::api::{BackendId, Micros, Readiness};
use crate::proxy::counters::Counters;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long before its idle limit a connection is no longer used: the backend's clock started earlier.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// A backend as the sockets know it.
pub struct Endpoint {
    address: Cell<SocketAddr>,
    started: Cell<Option<Micros>>,
    ready: Cell<bool>,
    /// Counts its restarts and moves: a connection of an earlier generation is not used again.
    generation: Cell<u64>,
    /// Its idle connections, the one that was used last at the end.
    pub(super) idle: RefCell<Vec<Idle>>,
}

impl Endpoint {
    fn new(address: SocketAddr, started: Option<Micros>) -> Rc<Self> {
        Rc::new(Self {
            address: Cell::new(address),
            started: Cell::new(started),
            ready: Cell::new(false),
            generation: Cell::new(0),
            idle: RefCell::default(),
        })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address.get()
    }

    pub(super) fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Whether it takes new requests.
    pub(super) fn is_ready(&self) -> bool {
        self.ready.get()
    }

    /// It is gone: nothing new goes there, and no connection is kept, not even those that are still in use.
    fn remove(&self) {
        self.ready.set(false);
        self.begin_generation();
    }

    fn begin_generation(&self) {
        self.generation.set(self.generation.get() + 1);
        self.idle.borrow_mut().clear();
    }
}

/// All backends that discovery lists, and the connections to them.
pub struct Fleet {
    pub(super) endpoints: RefCell<FxHashMap<BackendId, Rc<Endpoint>>>,
    /// Sockets to backends that are open, idle ones too.
    pub(super) sockets: Rc<Cell<usize>>,
    pub(super) max_sockets: usize,
    pub(super) dial_timeout: Duration,
    pub(super) idle_limit: Duration,
    /// The fields of a load report, in the order that the balancer knows.
    pub(super) report_fields: Vec<String>,
    pub(super) stray_bytes: Rc<StrayBytes>,
    pub(super) counters: Rc<Counters>,
}

impl Fleet {
    /// An empty fleet. `conn_idle` is how long backends keep an idle connection, `report_fields` the fields
    /// of a load report in the order that the balancer knows.
    #[must_use]
    pub fn new(
        max_sockets: usize,
        dial_timeout: Micros,
        conn_idle: Micros,
        report_fields: Vec<String>,
        counters: Rc<Counters>,
    ) -> Rc<Self> {
        let idle = Duration::from_micros(conn_idle);
        Rc::new(Self {
            endpoints: RefCell::default(),
            sockets: Rc::default(),
            max_sockets,
            dial_timeout: Duration::from_micros(dial_timeout),
            idle_limit: idle.saturating_sub(IDLE_MARGIN).max(idle / 2),
            report_fields,
            stray_bytes: Rc::default(),
            counters,
        })
    }

    /// How many backends are listed.
    #[must_use]
    pub fn len(&self) -> usize {
        self.endpoints.borrow().len()
    }

    /// Whether none is listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes what discovery says of one backend.
    pub fn update(
        &self,
        id: BackendId,
        address: SocketAddr,
        readiness: Readiness,
        started: Option<Micros>,
    ) {
        let mut endpoints = self.endpoints.borrow_mut();
        if readiness == Readiness::Removed {
            // Attempts that are out there hold it until they end; a backend of its name later is another one.
            return endpoints
                .remove(&id)
                .iter()
                .for_each(|endpoint| endpoint.remove());
        }
        let endpoint = endpoints
            .entry(id)
            .or_insert_with(|| Endpoint::new(address, started));
        endpoint.ready.set(readiness == Readiness::Ready);
        // The connections of the old process are dead, or will end as resets.
        if endpoint.started.replace(started) != started
            || endpoint.address.replace(address) != address
        {
            endpoint.begin_generation();
        }
    }

    /// A complete list has come: what it does not name is gone.
    pub fn retain(&self, listed: impl Fn(BackendId) -> bool) {
        self.endpoints.borrow_mut().retain(|&id, endpoint| {
            let keep = listed(id);
            if !keep {
                endpoint.remove();
            }
            keep
        });
    }

    /// Closes the idle connections to a backend.
    pub fn close_idle(&self, id: BackendId) {
        if let Some(endpoint) = self.endpoint(id) {
            endpoint.idle.borrow_mut().clear();
        }
    }

    /// The backend of that number, if discovery lists it.
    #[must_use]
    pub fn endpoint(&self, id: BackendId) -> Option<Rc<Endpoint>> {
        self.endpoints.borrow().get(&id).cloned()
    }
}
