//! The process of the proxy: its start, its signals, its log and its operator calls.

use super::backend::Backend;
use super::client::Client;
use super::configuration::{config, config_with_operator};
use super::discovery::{Discovery, active_endpoint};
use super::message::Message;
use serde_json::Value;
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::thread::JoinHandle;
use std::{env, fs, thread};

/// A running process of the program.
pub struct Proxy {
    pub child: Child,
    pub address: SocketAddr,
    /// The address for operator calls, if the configuration names one.
    pub operator: Option<SocketAddr>,
    name: String,
    /// What the process logs; `None` while it is collected.
    log: Option<BufReader<ChildStderr>>,
}

/// Returns the path of the configuration file of a proxy of this test process.
fn config_path(name: &str) -> PathBuf {
    env::temp_dir().join(format!("tillerproxy-{}-{name}.json", std::process::id()))
}

/// Starts the program with this configuration and captures its standard error.
pub fn spawn_process(name: &str, config: &str) -> Child {
    proxy_command(name, config)
        .spawn()
        .expect("the proxy's program can be executed")
}

/// Returns the command that starts the program with this configuration.
pub fn proxy_command(name: &str, config: &str) -> Command {
    let path = config_path(name);
    fs::write(&path, config).expect("the temporary directory is writable");
    let mut command = Command::new(env!("CARGO_BIN_EXE_tillerproxy"));
    command.env("EDGE_CONFIG", path).stderr(Stdio::piped());
    command
}

/// Starts the program with this configuration and this listening socket as its standard input, as a platform passes a
/// socket to the processes that it starts.
pub fn start_with_listener(name: &str, config: &Value, listener: &TcpListener) -> Proxy {
    let listener: OwnedFd = listener
        .try_clone()
        .expect("the test has a free descriptor")
        .into();
    let mut command = proxy_command(name, &config.to_string());
    command.env("EDGE_FD", "0").stdin(Stdio::from(listener));
    Proxy::start_with_command(name, command)
}

/// Returns the address that follows these words in a log line of either format.
fn address_after(line: &str, words: &str) -> Option<SocketAddr> {
    let (_, rest) = line.trim().rsplit_once(words)?;
    let address = rest.split('"').next().unwrap_or_default();
    Some(address.parse().unwrap_or_else(|error| {
        panic!("no address after {words:?} in the log line {line:?}: {error}")
    }))
}

impl Proxy {
    /// Starts a proxy and waits until it has applied this endpoint list.
    pub fn start(name: &str, discovery: &Discovery, endpoints: &[Value]) -> Self {
        let proxy = Self::start_without_endpoints(name, discovery);
        discovery.publish_and_wait(true, endpoints);
        proxy
    }

    /// Starts a proxy and waits until it has applied a list of this backend alone, with the id `s-1`.
    pub fn start_with_backend(name: &str, discovery: &Discovery, backend: SocketAddr) -> Self {
        Self::start(name, discovery, &[active_endpoint("s-1", backend)])
    }

    /// Starts a proxy that has received no endpoint list.
    pub fn start_without_endpoints(name: &str, discovery: &Discovery) -> Self {
        Self::start_with_config(name, config(name, discovery))
    }

    /// Starts a proxy with this configuration.
    pub fn start_with_config(name: &str, config: Value) -> Self {
        Self::wait_until_listening(name, spawn_process(name, &config.to_string()))
    }

    /// Starts a proxy with this configuration in a process that is limited to this number of descriptors.
    pub fn start_with_descriptor_limit(name: &str, config: &Value, descriptors: usize) -> Self {
        let program = proxy_command(name, &config.to_string());
        let mut limited = Command::new("sh");
        limited.args(["-c", &format!("ulimit -n {descriptors} && exec \"$0\"")]);
        limited
            .arg(program.get_program())
            .envs(program.get_envs().filter_map(|(k, v)| Some((k, v?))));
        limited.stderr(Stdio::piped());
        Self::start_with_command(name, limited)
    }

    /// Executes a command that starts the program, and waits until the process has logged its addresses.
    pub fn start_with_command(name: &str, mut command: Command) -> Self {
        let child = command
            .spawn()
            .expect("the proxy's program can be executed");
        Self::wait_until_listening(name, child)
    }

    /// Waits until a started process has logged the addresses that it listens on.
    fn wait_until_listening(name: &str, mut child: Child) -> Self {
        let log = BufReader::new(child.stderr.take().expect("standard error is a pipe"));
        let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
        // `Proxy` kills the process when it is dropped. It is created before the log is checked, so that a failed check
        // leaves no process behind.
        let mut proxy = Self {
            child,
            address: unknown,
            operator: None,
            name: name.into(),
            log: Some(log),
        };
        let mut line = String::new();
        while proxy.address == unknown {
            line.clear();
            assert_ne!(
                proxy
                    .log()
                    .read_line(&mut line)
                    .expect("the log is readable text"),
                0,
                "the proxy listens before it closes its log"
            );
            proxy.operator = address_after(&line, "operators call ").or(proxy.operator);
            proxy.address = address_after(&line, "listens on ").unwrap_or(proxy.address);
        }
        proxy
    }

    fn log(&mut self) -> &mut BufReader<ChildStderr> {
        self.log.as_mut().expect("the log is not collected")
    }

    /// Reads the rest of the log while the process runs, so that a long log does not block it.
    pub fn collect_log(&mut self) -> JoinHandle<String> {
        let mut log = self.log.take().expect("the log is not collected");
        thread::spawn(move || {
            let mut text = String::new();
            log.read_to_string(&mut text)
                .expect("the log is readable text");
            text
        })
    }

    /// Opens a connection as a client.
    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// Sends a request on a new connection and returns the status of the response.
    pub fn status_of(&self, request: &str) -> u16 {
        self.client().exchange(request).status()
    }

    /// Opens a connection as an operator.
    pub fn operator_client(&self) -> Client {
        Client::connect(
            self.operator
                .expect("the configuration names an address for operator calls"),
        )
    }

    /// Makes one operator call without a body.
    pub fn operator_call(&self, method: &str, path: &str) -> Message {
        self.operator_client()
            .exchange(&format!("{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n"))
    }

    /// Returns the number of final answers to requests of this class with this outcome.
    pub fn handled_requests(&self, class: &str, outcome: &str) -> u64 {
        self.metric(&format!(
            "app_handled{{category=\"{class}\",outcome=\"{outcome}\"}}"
        ))
    }

    /// Returns the value of the metric with this name and these labels.
    pub fn metric(&self, name: &str) -> u64 {
        let text = String::from_utf8(self.operator_call("GET", "/control/counters").body)
            .expect("metrics are UTF-8 text");
        let value = text
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        let value = value.unwrap_or_else(|| panic!("metric `{name}` is missing in {text}"));
        value
            .parse()
            .unwrap_or_else(|_| panic!("metric `{name}` is {value:?}, expected a whole number"))
    }

    /// Returns the peak resident memory of the process in kB.
    pub fn peak_memory_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .expect("the process is running");
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .expect("the kernel reports the peak resident memory");
        line.trim()
            .trim_end_matches(" kB")
            .parse()
            .expect("the peak is a whole number of kB")
    }

    /// Sends the process a signal, in the form of an option of `kill`.
    fn signal(&self, signal: &str) {
        let done = Command::new("kill")
            .args([signal, &self.child.id().to_string()])
            .status();
        assert!(
            done.expect("`kill` can be executed").success(),
            "the process receives {signal}"
        );
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Suspends the process, as on a machine without a free core.
    pub fn suspend(&self) {
        self.signal("-STOP");
    }

    /// Resumes a suspended process.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        fs::write(config_path(&self.name), config).expect("the temporary directory is writable");
        self.signal("-HUP");
    }

    /// Waits for a log line that contains these words.
    pub fn wait_for_log(&mut self, words: &str) {
        let mut line = String::new();
        while !line.contains(words) {
            line.clear();
            assert_ne!(
                self.log()
                    .read_line(&mut line)
                    .expect("the log is readable text"),
                0,
                "the proxy logs `{words}` before it closes its log"
            );
        }
    }

    /// Waits for the end of the process and returns the log lines that were not read yet.
    pub fn rest_of_log(&mut self) -> String {
        let mut text = String::new();
        self.log()
            .read_to_string(&mut text)
            .expect("the log is readable text");
        text
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self) -> ExitStatus {
        self.child
            .wait()
            .expect("the process is a child of the test")
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts a proxy with a memory limit of 32 MB, without hedging, for one backend.
pub fn start_with_little_memory(name: &str, backend: &Backend) -> Proxy {
    let discovery = Discovery::start();
    let mut config = config_with_operator(name, &discovery);
    config["limits"]["memory_mb"] = 32.into();
    config["settings"]["permissions"]["secondCopies"] = false.into();
    let proxy = Proxy::start_with_config(name, config);
    discovery.publish_and_wait(true, &[active_endpoint("s-1", backend.address)]);
    proxy
}
