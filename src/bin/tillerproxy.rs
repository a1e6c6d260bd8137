//! The proxy process, which reads the configuration, connects the parts of the proxy and runs until SIGTERM.
#![forbid(unsafe_code)]

use cap::Cap;
use std::alloc::System;
use std::env;
use std::error::Error;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tillerproxy::api::{DiscoveryMode, Settings, SettingsError};
use tillerproxy::balancer::Balancer;
use tillerproxy::proxy::backends::BackendClient;
use tillerproxy::proxy::budget::{Budget, SharedLimits, Sharing};
use tillerproxy::proxy::clients::{Clients, SharedParts};
use tillerproxy::proxy::clock::Clock;
use tillerproxy::proxy::config::Config;
use tillerproxy::proxy::correlation_ids::CorrelationIds;
use tillerproxy::proxy::counters::Counters;
use tillerproxy::proxy::discovery::{Polling, Translator, Watcher};
use tillerproxy::proxy::driver::{Driver, DriverSettings};
use tillerproxy::proxy::inherited;
use tillerproxy::proxy::lifecycle::Lifecycle;
use tillerproxy::proxy::listener::listen;
use tillerproxy::proxy::logging::{self, LogControl, LogOptions};
use tillerproxy::proxy::operator::OperatorServer;
use tillerproxy::proxy::process_group::ProcessGroup;
use tillerproxy::proxy::shutdown::{ClientListener, drain};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

/// Counts the bytes that the heap holds, from which the proxy decides what it may still take in.
#[global_allocator]
static HEAP: Cap<System> = Cap::new(System, usize::MAX);

/// Interval at which a process that shares its limits with others looks what they use.
const USAGE_INTERVAL: Duration = Duration::from_millis(20);

fn main() -> ExitCode {
    let log = match init_log() {
        Ok(log) => log,
        Err(error) => {
            // A failure of the write is ignored, because standard error may be closed.
            let _ = writeln!(io::stderr(), "tillerproxy: {error}");
            return ExitCode::FAILURE;
        }
    };
    match run(log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "proxy stopped");
            ExitCode::FAILURE
        }
    }
}

fn init_log() -> Result<LogControl, Box<dyn Error>> {
    let options = LogOptions::from_env(|name| std::env::var(name).ok())?;
    Ok(logging::init(options)?)
}

/// Runs the proxy on a single-threaded runtime until SIGTERM.
///
/// # Errors
/// The proxy cannot start, or its driver has ended.
fn run(log: LogControl) -> Result<(), Box<dyn Error>> {
    let inherited = inherited::from_env()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        let signals = Signals::install()?;
        let config = Config::from_env()?;
        log.set_filter(config.log_filter.clone());
        let listeners = Listeners::open(&config, inherited)?;
        serve(config, listeners, log, signals).await
    })
}

/// Returns how the process shares the limits with others. With an inherited client listener, an upgrade runs the old and
/// the new process side by side.
fn sharing(listeners: &Listeners) -> Sharing {
    if !listeners.is_shared {
        return Sharing::None;
    }
    let joined = listeners
        .clients
        .local_addr()
        .and_then(|clients| ProcessGroup::join(&env::temp_dir(), clients));
    match joined {
        Ok(group) => Sharing::Group(group),
        Err(error) => {
            tracing::warn!(%error, "cannot tell other processes what this one uses");
            Sharing::Halves
        }
    }
}

/// Returns the ids that no request may have. With an inherited client listener they are those of all processes that accept
/// from it.
fn correlation_ids(listeners: &Listeners) -> Rc<CorrelationIds> {
    if !listeners.is_shared {
        return CorrelationIds::new();
    }
    let opened = listeners
        .clients
        .local_addr()
        .and_then(|clients| CorrelationIds::open_shared(&env::temp_dir(), clients));
    opened.unwrap_or_else(|error| {
        tracing::warn!(%error, "cannot learn which requests other processes have run");
        CorrelationIds::new()
    })
}

/// Creates the budget of the process, and keeps it up to date while others may share it.
fn budget(limits: SharedLimits, sharing: Sharing) -> Rc<Budget> {
    Budget::new(limits, sharing, || HEAP.allocated())
}

/// Adapts the process to what others use of the limits. Never returns.
async fn follow_usage_of_others(budget: Rc<Budget>, backend_client: Rc<BackendClient>) {
    loop {
        sleep(USAGE_INTERVAL).await;
        budget.refresh();
        backend_client.close_surplus();
    }
}

/// The signals that the process handles.
struct Signals {
    terminate: Signal,
    reload: Signal,
}

impl Signals {
    /// Installs the signal handlers. Before this, either signal kills the process.
    fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            reload: signal(SignalKind::hangup())?,
        })
    }
}

/// The listening sockets.
struct Listeners {
    operators: Option<TcpListener>,
    clients: Rc<TcpListener>,
    /// Whether other processes may also accept from the client listener.
    is_shared: bool,
}

impl Listeners {
    fn open(
        config: &Config,
        inherited: Option<std::net::TcpListener>,
    ) -> Result<Self, Box<dyn Error>> {
        let operators = config.operator.map(listen).transpose()?;
        if let Some(operators) = &operators {
            tracing::info!("operators call {}", operators.local_addr()?);
        }
        let is_shared = inherited.is_some();
        let clients = match inherited {
            Some(listener) => TcpListener::from_std(listener)?,
            None => listen(config.listen)?,
        };
        tracing::info!("{} listens on {}", config.name, clients.local_addr()?);
        Ok(Self {
            operators,
            clients: Rc::new(clients),
            is_shared,
        })
    }
}

/// The connected parts of a proxy that has not been started.
struct Proxy {
    driver: Driver,
    watcher: Watcher,
    discovery_address: watch::Sender<SocketAddr>,
    backend_client: Rc<BackendClient>,
    operator: Rc<OperatorServer>,
    clients: Rc<Clients>,
    lifecycle: Rc<Lifecycle>,
}

impl Proxy {
    fn new(
        config: &Config,
        budget: Rc<Budget>,
        correlation_ids: Rc<CorrelationIds>,
    ) -> Result<Self, SettingsError> {
        let settings = &config.settings;
        let clock = Clock::start();
        let lifecycle = Lifecycle::start();
        let counters = Counters::new(&config.names.classes);
        let backend_client = BackendClient::new(
            config.connect_timeout,
            settings.permissions.idle_timeout,
            config.names.load_report_fields.clone(),
            Rc::clone(&counters),
            Rc::clone(&budget),
        );
        let balancer = Balancer::new(settings.clone(), config.seed, clock.now())?;
        let (watch_request_sender, watch_requests) = mpsc::unbounded_channel();
        let (driver, handle) = Driver::new(
            balancer,
            clock,
            Rc::clone(&backend_client),
            driver_settings(settings),
            watch_request_sender,
            Rc::clone(&lifecycle),
        );
        let operator = OperatorServer::new(
            Rc::clone(&lifecycle),
            Rc::clone(&counters),
            Rc::clone(&backend_client),
            handle.clone(),
        );
        let (discovery_address, addresses) = watch::channel(config.discovery);
        let watcher = Watcher::new(
            addresses,
            Translator::new(clock, &config.names),
            handle.clone(),
            Rc::clone(&lifecycle),
            polling(settings, watch_requests),
        );
        let clients = Clients::new(
            handle,
            clock,
            settings,
            &config.names,
            SharedParts {
                lifecycle: Rc::clone(&lifecycle),
                counters,
                budget,
                correlation_ids,
            },
        );
        Ok(Self {
            driver,
            watcher,
            discovery_address,
            backend_client,
            operator,
            clients,
            lifecycle,
        })
    }
}

fn driver_settings(settings: &Settings) -> DriverSettings {
    DriverSettings {
        max_attempts: settings.permissions.max_attempts,
        load_report_by_health_check: settings.load_report_by_health_check,
    }
}

fn polling(settings: &Settings, watch_requests: mpsc::UnboundedReceiver<()>) -> Option<Polling> {
    match settings.discovery_mode {
        DiscoveryMode::Pushed => None,
        DiscoveryMode::Polled => Some(Polling::new(
            watch_requests,
            settings.proxy_index,
            settings.proxy_count,
        )),
    }
}

/// Serves until SIGTERM, and then drains the proxy.
///
/// # Errors
/// The settings are invalid, or the driver has ended.
async fn serve(
    config: Config,
    listeners: Listeners,
    log: LogControl,
    signals: Signals,
) -> Result<(), Box<dyn Error>> {
    let Signals {
        mut terminate,
        reload,
    } = signals;
    let budget = budget(config.limits, sharing(&listeners));
    let proxy = Proxy::new(&config, Rc::clone(&budget), correlation_ids(&listeners))?;
    if budget.is_shared() {
        spawn_local(follow_usage_of_others(
            budget,
            Rc::clone(&proxy.backend_client),
        ));
    }
    if let Some(listener) = listeners.operators {
        spawn_local(proxy.operator.serve(listener));
    }
    spawn_local(reload_configuration_on_signal(
        reload,
        proxy.discovery_address,
        log,
    ));
    let driver = spawn_local(proxy.driver.run());
    spawn_local(proxy.backend_client.sweep());
    let accepting = spawn_local(Rc::clone(&proxy.clients).accept(Rc::clone(&listeners.clients)));
    let mut watcher = proxy.watcher;
    watcher.start_from_cache(&config.cached_endpoints);
    spawn_local(watcher.run());
    tokio::select! {
        ended = driver => return Err(format!("the driver ended: {ended:?}").into()),
        _ = terminate.recv() => {}
    }
    let client_listener = ClientListener {
        listener: listeners.clients,
        accepting,
        is_shared: listeners.is_shared,
    };
    let longest_timeout = longest_timeout(&config.settings);
    drain(
        &proxy.clients,
        &proxy.lifecycle,
        longest_timeout,
        client_listener,
    )
    .await;
    Ok(())
}

/// Returns the longest time that a client waits for a response.
fn longest_timeout(settings: &Settings) -> Duration {
    let timeouts = settings.classes.iter().map(|class| class.timeout);
    Duration::from_micros(timeouts.max().unwrap_or_default())
}

/// Reads the configuration again at each SIGHUP, and applies the address of discovery and the log filter. Other fields
/// take effect only at the next start. An invalid configuration has no effect.
async fn reload_configuration_on_signal(
    mut reload: Signal,
    discovery_address: watch::Sender<SocketAddr>,
    log: LogControl,
) {
    while reload.recv().await.is_some() {
        match Config::from_env() {
            Ok(config) => {
                log.set_filter(config.log_filter);
                tracing::info!(discovery = %config.discovery, "configuration reloaded");
                discovery_address.send_if_modified(|address| {
                    let is_change = *address != config.discovery;
                    *address = config.discovery;
                    is_change
                });
            }
            Err(error) => tracing::warn!(%error, "configuration not reloaded"),
        }
    }
}
