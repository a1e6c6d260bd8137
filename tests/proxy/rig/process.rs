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
use std::{env, fs};

/// A running process of the program.
pub struct Proxy {
    pub child: Child,
    pub address: SocketAddr,
    /// Where operators call, if the configuration names it.
    pub operator: Option<SocketAddr>,
    name: String,
    log: BufReader<ChildStderr>,
}

fn config_path(name: &str) -> PathBuf {
    env::temp_dir().join(format!("tillerproxy-{}-{name}.json", std::process::id()))
}

/// Starts the program with this configuration and captures its standard error.
pub fn launch(name: &str, config: &str) -> Child {
    command(name, config).spawn().expect("the program starts")
}

/// Returns the command that starts the program with this configuration.
pub fn command(name: &str, config: &str) -> Command {
    let path = config_path(name);
    fs::write(&path, config).expect("the configuration is written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_tillerproxy"));
    command.env("EDGE_CONFIG", path).stderr(Stdio::piped());
    command
}

/// Starts the program with this configuration and the platform's listening socket as its standard input.
pub fn start_with_listener(name: &str, config: &Value, listener: &TcpListener) -> Proxy {
    let listener: OwnedFd = listener.try_clone().expect("a clone").into();
    let mut command = command(name, &config.to_string());
    command.env("EDGE_FD", "0").stdin(Stdio::from(listener));
    Proxy::wait_until_listening(name, command.spawn().expect("the program starts"))
}

/// Returns the address after these words in a line of the log, in either of its formats.
fn address_after(line: &str, words: &str) -> Option<SocketAddr> {
    let (_, rest) = line.trim().rsplit_once(words)?;
    let address = rest.split('"').next().unwrap_or_default();
    Some(address.parse().expect("an address"))
}

impl Proxy {
    /// Starts a proxy, and waits until it has these endpoints.
    pub fn start(name: &str, discovery: &Discovery, members: &[Value]) -> Self {
        let proxy = Self::start_without_endpoints(name, discovery);
        discovery.publish_and_wait(true, members);
        proxy
    }

    /// Starts a proxy that has no endpoint list.
    pub fn start_without_endpoints(name: &str, discovery: &Discovery) -> Self {
        Self::start_with(name, config(name, discovery))
    }

    /// Starts a proxy with this configuration.
    pub fn start_with(name: &str, config: Value) -> Self {
        Self::wait_until_listening(name, launch(name, &config.to_string()))
    }

    /// Starts a proxy with this configuration, whose process may have this many descriptors.
    pub fn start_limited(name: &str, config: &Value, descriptors: usize) -> Self {
        let program = command(name, &config.to_string());
        let mut limited = Command::new("sh");
        limited.args(["-c", &format!("ulimit -n {descriptors} && exec \"$0\"")]);
        limited
            .arg(program.get_program())
            .envs(program.get_envs().filter_map(|(k, v)| Some((k, v?))));
        Self::wait_until_listening(
            name,
            limited
                .stderr(Stdio::piped())
                .spawn()
                .expect("the program starts"),
        )
    }

    /// Waits until a started process has logged its addresses.
    pub fn wait_until_listening(name: &str, mut child: Child) -> Self {
        let log = BufReader::new(child.stderr.take().expect("standard error"));
        let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
        // From here on the process ends with the test, also where its log is not as expected.
        let mut proxy = Self {
            child,
            address: unknown,
            operator: None,
            name: name.into(),
            log,
        };
        let mut line = String::new();
        while proxy.address == unknown {
            line.clear();
            assert_ne!(
                proxy.log.read_line(&mut line).expect("a log"),
                0,
                "the proxy ended before it listened"
            );
            proxy.operator = address_after(&line, "operators call ").or(proxy.operator);
            proxy.address = address_after(&line, "listens on ").unwrap_or(proxy.address);
        }
        proxy
    }

    /// Opens a connection as a client.
    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// Sends a request on its own connection, and returns the status of the response.
    pub fn status_of(&self, request: &str) -> u16 {
        self.client().exchange(request).status()
    }

    /// Opens a connection as an operator.
    pub fn operator_client(&self) -> Client {
        Client::connect(self.operator.expect("an operators' address"))
    }

    /// Makes one operator call.
    pub fn operator_call(&self, method: &str, path: &str) -> Message {
        self.operator_client()
            .exchange(&format!("{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n"))
    }

    /// Returns the number of final answers to requests of this class with this outcome.
    pub fn handled(&self, class: &str, outcome: &str) -> u64 {
        self.metric(&format!(
            "app_handled{{category=\"{class}\",outcome=\"{outcome}\"}}"
        ))
    }

    /// Returns the metric of that name and labels.
    pub fn metric(&self, name: &str) -> u64 {
        let text =
            String::from_utf8(self.operator_call("GET", "/control/counters").body).expect("text");
        let value = text
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        value
            .unwrap_or_else(|| panic!("no {name} in {text}"))
            .parse()
            .expect("a number")
    }

    /// Returns the peak of its resident memory, in kB.
    pub fn peak_memory_kb(&self) -> u64 {
        let status =
            fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("a status");
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .expect("a peak");
        line.trim()
            .trim_end_matches(" kB")
            .parse()
            .expect("a number")
    }

    fn signal(&self, signal: &str) {
        let done = Command::new("kill")
            .args([signal, &self.child.id().to_string()])
            .status();
        assert!(done.expect("kill runs").success());
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

    /// Replaces the configuration's file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        fs::write(config_path(&self.name), config).expect("the configuration is written");
        self.signal("-HUP");
    }

    /// Waits for a line of the log that contains these words.
    pub fn wait_for_log(&mut self, words: &str) {
        let mut line = String::new();
        while !line.contains(words) {
            line.clear();
            assert_ne!(
                self.log.read_line(&mut line).expect("a log"),
                0,
                "the proxy ended"
            );
        }
    }

    /// Returns what it still logs until it ends.
    pub fn rest_of_log(&mut self) -> String {
        let mut text = String::new();
        self.log.read_to_string(&mut text).expect("a log");
        text
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the proxy ends")
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts a proxy with little memory and one backend.
pub fn start_with_little_memory(name: &str, backend: &Backend) -> Proxy {
    let discovery = Discovery::start();
    let mut config = config_with_operator(name, &discovery);
    config["limits"]["memory_mb"] = 32.into();
    config["settings"]["permissions"]["secondCopies"] = false.into();
    let proxy = Proxy::start_with(name, config);
    discovery.publish_and_wait(true, &[active_endpoint("s-1", backend.address)]);
    proxy
}
