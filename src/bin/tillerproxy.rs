//! One real proxy: start-up, signals, exit code.
#![forbid(unsafe_code)]

use std::error::Error;
use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tillerproxy::api::DiscoveryMode;
use tillerproxy::balancer::Balancer;
use tillerproxy::proxy::backends::Backends;
use tillerproxy::proxy::clients::Clients;
use tillerproxy::proxy::clock::Clock;
use tillerproxy::proxy::config::Config;
use tillerproxy::proxy::counters::Counters;
use tillerproxy::proxy::discovery::{Polling, Translator, Watcher};
use tillerproxy::proxy::driver::{Driver, DriverSettings};
use tillerproxy::proxy::inherited;
use tillerproxy::proxy::lifecycle::{Lifecycle, ShutdownTimes};
use tillerproxy::proxy::logging::{self, LogControl, LogOptions};
use tillerproxy::proxy::operator::Operator;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, timeout_at};

/// The kernel's queue of connections that are not accepted yet.
const BACKLOG: u32 = 1_024;
/// After SIGTERM, connections still come for a while: how long the proxy goes on at the least, and how long
/// nobody must have connected.
const DRAIN_MIN_TIME: Duration = Duration::from_millis(800);
const DRAIN_QUIET_TIME: Duration = Duration::from_millis(300);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// What the proxy takes beyond the longest deadline before it ends with clients still connected.
const DRAIN_SLACK: Duration = Duration::from_millis(500);
/// The platform may kill it 0.7 s after the longest deadline, of which it counts so much at the most.
const MAX_DRAIN_DEADLINE: Duration = Duration::from_secs(3);

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    // A restarted proxy takes its old address although connections of the old process linger.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// The signals that do not end the process.
struct Signals {
    stop: Signal,
    reload: Signal,
}

impl Signals {
    /// Takes them over. Until then either ends the process, so this comes before anything else.
    fn install() -> std::io::Result<Self> {
        Ok(Self {
            stop: signal(SignalKind::terminate())?,
            reload: signal(SignalKind::hangup())?,
        })
    }
}

/// Reads the configuration again at each SIGHUP, for as long as the proxy runs: where discovery is now, and
/// what is logged. Serving goes on meanwhile; a file that can't be used changes nothing.
async fn follow_configuration(
    mut reload: Signal,
    discovery: watch::Sender<SocketAddr>,
    log: LogControl,
    process_count: usize,
) {
    while reload.recv().await.is_some() {
        match Config::from_env(process_count) {
            Ok(config) => {
                log.set_filter(config.log_filter);
                tracing::info!(
                    "read the configuration again: discovery is at {}",
                    config.discovery
                );
                discovery.send_if_modified(|now| {
                    std::mem::replace(now, config.discovery) != config.discovery
                });
            }
            Err(error) => tracing::warn!("kept the old configuration: {error}"),
        }
    }
}

async fn run(
    config: Config,
    log: LogControl,
    inherited: Option<std::net::TcpListener>,
    signals: Signals,
) -> Result<(), Box<dyn Error>> {
    let clock = Clock::start();
    let shared = inherited.is_some();
    let calls = config
        .operator
        .map(|at| listen(at).map_err(|e| format!("cannot listen on {at}: {e}")));
    let calls = calls.transpose()?;
    if let Some(calls) = &calls {
        tracing::info!("operators call {}", calls.local_addr()?);
    }
    let counters = Counters::new(&config.names.classes);
    let settings = config.settings;
    let longest = settings
        .classes
        .iter()
        .map(|c| c.timeout)
        .max()
        .unwrap_or_default();
    let driver_settings = DriverSettings {
        max_attempts: settings.permissions.max_attempts,
        load_report_by_health_check: settings.load_report_by_health_check,
    };
    let backends = Backends::new(
        config.budget.backends,
        config.connect_timeout,
        settings.permissions.idle_timeout,
        config.names.load_report_fields.clone(),
        Rc::clone(&counters),
    );
    let listener = match inherited {
        Some(listener) => TcpListener::from_std(listener)?,
        None => {
            listen(config.listen).map_err(|e| format!("cannot listen on {}: {e}", config.listen))?
        }
    };
    let listener = Rc::new(listener);
    tracing::info!("{} listens on {}", config.name, listener.local_addr()?);
    let balancer = Balancer::new(settings.clone(), config.seed, clock.now())?;
    let (poll_sender, poll_requests) = mpsc::unbounded_channel();
    let lifecycle = Lifecycle::start();
    let (driver, handle) = Driver::new(
        balancer,
        clock,
        Rc::clone(&backends),
        driver_settings,
        poll_sender,
        Rc::clone(&lifecycle),
    );
    if let Some(calls) = calls {
        let (lifecycle, counters) = (Rc::clone(&lifecycle), Rc::clone(&counters));
        let operator = Operator::new(lifecycle, counters, Rc::clone(&backends), handle.clone());
        tokio::task::spawn_local(operator.serve(calls));
    }
    let translator = Translator::new(clock, &config.names);
    let polling = match settings.discovery_mode {
        DiscoveryMode::Pushed => None,
        DiscoveryMode::Polled => Some(Polling::new(
            poll_requests,
            settings.proxy_index,
            settings.proxy_count,
        )),
    };
    let (discovery, addresses) = watch::channel(config.discovery);
    let mut watcher = Watcher::new(
        addresses,
        translator,
        handle.clone(),
        Rc::clone(&lifecycle),
        polling,
    );
    let (names, budget) = (&config.names, config.budget);
    let clients = Clients::new(
        handle,
        clock,
        &settings,
        names,
        Rc::clone(&lifecycle),
        counters,
        budget,
    );

    let Signals { mut stop, reload } = signals;
    tokio::task::spawn_local(follow_configuration(
        reload,
        discovery,
        log,
        process_count(shared),
    ));
    let driver = tokio::task::spawn_local(driver.run());
    tokio::task::spawn_local(backends.sweep());
    let accepting = tokio::task::spawn_local(Rc::clone(&clients).accept(Rc::clone(&listener)));
    watcher.start_from_cache(&config.cached_endpoints);
    tokio::task::spawn_local(watcher.run());
    tokio::select! {
        ended = driver => Err(format!("the driver ended: {ended:?}").into()),
        _ = stop.recv() => {
            // What is in the queue of a listener that is shared is for the process that comes after this one.
            let queue = (!shared).then_some(listener);
            if shared {
                accepting.abort();
            }
            drain(&clients, &lifecycle, Duration::from_micros(longest), queue).await;
            Ok(())
        }
    }
}

/// Returns the number of processes that share the limits of the configuration: where the client listener is inherited,
/// an upgrade runs the old process and the new one side by side.
fn process_count(has_inherited_listener: bool) -> usize {
    if has_inherited_listener { 2 } else { 1 }
}

/// Finishes what was taken, and what still comes by the listener, if it is this process's alone.
async fn drain(
    clients: &Rc<Clients>,
    lifecycle: &Lifecycle,
    longest: Duration,
    listener: Option<Rc<TcpListener>>,
) {
    let began = Instant::now();
    let end = began + longest + DRAIN_SLACK;
    lifecycle.shut_down(ShutdownTimes {
        last_answer_at: began + longest.min(MAX_DRAIN_DEADLINE) + DRAIN_SLACK,
        process_end: end,
    });
    while listener.is_some()
        && (began.elapsed() < DRAIN_MIN_TIME
            || (clients.since_last_accept() < DRAIN_QUIET_TIME && began.elapsed() < longest))
    {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    loop {
        while clients.open() > 0 {
            if timeout_at(end, clients.connection_ended()).await.is_err() {
                return;
            }
        }
        // A connection that has come in this very turn would be reset.
        if !listener
            .as_ref()
            .is_some_and(|listener| clients.accept_waiting(listener))
        {
            return;
        }
    }
}

fn start(log: LogControl) -> Result<(), Box<dyn Error>> {
    let inherited = inherited::from_env()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        let signals = Signals::install()?;
        let config = Config::from_env(process_count(inherited.is_some()))?;
        log.set_filter(config.log_filter.clone());
        run(config, log, inherited, signals).await
    })
}

fn start_log() -> Result<LogControl, Box<dyn Error>> {
    let options = LogOptions::from_env(|name| std::env::var(name).ok())?;
    Ok(logging::init(options)?)
}

fn main() -> ExitCode {
    let log = match start_log() {
        Ok(log) => log,
        Err(error) => {
            // Nobody may read standard error.
            let _ = writeln!(std::io::stderr(), "tillerproxy: {error}");
            return ExitCode::FAILURE;
        }
    };
    match start(log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("tillerproxy: {error}");
            ExitCode::FAILURE
        }
    }
}
