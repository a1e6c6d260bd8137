//! The process of the proxy: its start, its signals, its log and its operator calls.

use super::backend::Backend;
use super::client::Client;
use super::configuration::{config, operated};
use super::discovery::{Discovery, entry};
use super::message::Message;
use serde_json::Value;
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::{env, fs};

/// The program, running.
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

/// The program with this configuration, not started yet.
pub fn command(name: &str, config: &str) -> Command {
    let path = config_path(name);
    fs::write(&path, config).expect("the configuration is written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_tillerproxy"));
    command.env("EDGE_CONFIG", path).stderr(Stdio::piped());
    command
}

/// The program with this configuration and a listening socket of the platform's, as its standard input.
pub fn heir(name: &str, config: &Value, listener: &TcpListener) -> Proxy {
    let listener: OwnedFd = listener.try_clone().expect("a clone").into();
    let mut command = command(name, &config.to_string());
    command.env("EDGE_FD", "0").stdin(Stdio::from(listener));
    Proxy::follow(name, command.spawn().expect("the program starts"))
}

/// The address behind these words of a line of the log, in either of its formats.
fn address_behind(line: &str, words: &str) -> Option<SocketAddr> {
    let (_, rest) = line.trim().rsplit_once(words)?;
    let address = rest.split('"').next().unwrap_or_default();
    Some(address.parse().expect("an address"))
}

impl Proxy {
    /// A proxy that is up with these backends.
    pub fn start(name: &str, discovery: &Discovery, members: &[Value]) -> Self {
        let proxy = Self::start_bare(name, discovery);
        discovery.post(true, members);
        proxy
    }

    /// A proxy that has no endpoint list yet.
    pub fn start_bare(name: &str, discovery: &Discovery) -> Self {
        Self::start_with(name, config(name, discovery))
    }

    /// A proxy with this configuration.
    pub fn start_with(name: &str, config: Value) -> Self {
        Self::follow(name, launch(name, &config.to_string()))
    }

    /// A proxy with this configuration, whose process may have this many descriptors.
    pub fn start_limited(name: &str, config: &Value, descriptors: usize) -> Self {
        let program = command(name, &config.to_string());
        let mut limited = Command::new("sh");
        limited.args(["-c", &format!("ulimit -n {descriptors} && exec \"$0\"")]);
        limited
            .arg(program.get_program())
            .envs(program.get_envs().filter_map(|(k, v)| Some((k, v?))));
        Self::follow(
            name,
            limited
                .stderr(Stdio::piped())
                .spawn()
                .expect("the program starts"),
        )
    }

    /// A proxy that was started: its addresses are in its log.
    pub fn follow(name: &str, mut child: Child) -> Self {
        let log = BufReader::new(child.stderr.take().expect("standard error"));
        let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
        // From here on the process ends with the test, also where the log is not what is wanted.
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
            proxy.operator = address_behind(&line, "operators call ").or(proxy.operator);
            proxy.address = address_behind(&line, "listens on ").unwrap_or(proxy.address);
        }
        proxy
    }

    /// Opens a connection as a client.
    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// Opens a connection as an operator.
    pub fn caller(&self) -> Client {
        Client::connect(self.operator.expect("an operators' address"))
    }

    /// One call of an operator.
    pub fn call(&self, method: &str, path: &str) -> Message {
        self.caller()
            .ask(&format!("{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n"))
    }

    /// Returns the metric of that name and labels.
    pub fn figure(&self, name: &str) -> u64 {
        let text = String::from_utf8(self.call("GET", "/control/counters").body).expect("text");
        let value = text
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        value
            .unwrap_or_else(|| panic!("no {name} in {text}"))
            .parse()
            .expect("a number")
    }

    /// Returns the peak of its memory, in kB.
    pub fn peak_memory(&self) -> u64 {
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

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Stops the process, as a machine without a free core does.
    pub fn halt(&self) {
        self.signal("-STOP");
    }

    pub fn go_on(&self) {
        self.signal("-CONT");
    }

    /// Replaces the configuration's file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        fs::write(config_path(&self.name), config).expect("the configuration is written");
        self.signal("-HUP");
    }

    /// Waits for a line of the log that holds these words.
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

/// A proxy with little memory and a backend.
pub fn start_with_little_memory(name: &str, backend: &Backend) -> Proxy {
    let discovery = Discovery::start();
    let mut config = operated(name, &discovery);
    config["limits"]["memory_mb"] = 32.into();
    config["settings"]["permissions"]["secondCopies"] = false.into();
    let proxy = Proxy::start_with(name, config);
    discovery.post(true, &[entry("s-1", backend.address, "active", 0)]);
    proxy
}
