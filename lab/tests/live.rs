//! `tillerproxy-lab live` as a program, with real processes of the proxy.

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::LazyLock;

/// The proxy's program. It belongs to another package, so cargo is asked to build it and to say where it is.
static PROXY: LazyLock<PathBuf> = LazyLock::new(|| {
    let arguments = [
        "build",
        "--locked",
        "--package",
        "tillerproxy",
        "--bin",
        "tillerproxy",
    ];
    let output = Command::new(env!("CARGO"))
        .args(arguments)
        .args(["--message-format", "json"])
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .output()
        .expect("cargo runs");
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let messages = output.stdout.split(|&byte| byte == b'\n');
    let mut messages = messages.filter_map(|line| serde_json::from_slice::<Value>(line).ok());
    let program = messages.find_map(|message| message["executable"].as_str().map(PathBuf::from));
    program.expect("cargo names the program")
});

fn scenario(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("scenarios")
        .join(name)
}

fn lab() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tillerproxy-lab"));
    command
        .args(["live", "--quiet"])
        .env_remove("RUST_LOG")
        // Log lines without escape codes, so that their fields can be read.
        .env("NO_COLOR", "1");
    command
}

fn is_running(pid: u64) -> bool {
    Path::new("/proc").join(pid.to_string()).exists()
}

fn error_of(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn the_small_scenario_is_played_whole() {
    let directory = tempfile::tempdir().expect("a directory");
    let json = directory.path().join("live.json");
    let mut lab = lab();
    let output = lab
        .arg(scenario("live-small.toml"))
        .arg("--proxy")
        .arg(&*PROXY)
        .arg("--json")
        .arg(&json);
    let output = output.output().expect("the lab runs");
    assert!(output.status.success(), "{}", error_of(&output));
    let table = String::from_utf8(output.stdout).expect("a table");
    let result: Value =
        serde_json::from_slice(&std::fs::read(json).expect("a result")).expect("JSON");
    assert_eq!(result["run"]["experiment"], "live");
    let phases = result["measured"]["phases"].as_array().expect("phases");
    assert_eq!(phases.len(), 10);
    for phase in phases {
        let kind = phase["kind"].as_str().expect("a kind");
        assert!(table.contains(kind), "{kind} is in the table");
        check_phase(phase, kind);
    }
    let pids = phases
        .iter()
        .flat_map(|phase| phase["processes"].as_array().expect("processes"));
    let mut pids: Vec<u64> = pids
        .map(|process| process["pid"].as_u64().expect("a process id"))
        .collect();
    pids.sort_unstable();
    pids.dedup();
    assert_eq!(pids.len(), 4, "two, and two after the restart");
    assert!(!pids.into_iter().any(is_running), "every process has ended");
}

fn check_phase(phase: &Value, kind: &str) {
    let processes = phase["processes"].as_array().expect("processes");
    assert_eq!(processes.len(), 2, "{kind}");
    for process in processes {
        check_process(process, kind);
        assert_eq!(process["known_backends"], phase["listed"], "{kind}");
        if phase["clients"] == true {
            check_requests(&process["requests"], kind);
        }
        assert_eq!(process["idle"].is_object(), kind == "idle_connections");
    }
    if let "changes" | "zone_loss" | "reload" = kind {
        check_propagation(phase, kind);
    }
    if kind == "restart" {
        let restart = &phase["restart"];
        assert_eq!(restart["processes"], 2);
        assert_eq!(restart["ended_cleanly"], 2);
        assert_eq!(restart["up_in_time"], 2);
    }
}

fn check_process(process: &Value, kind: &str) {
    let resident = process["resident_kib"].as_u64();
    assert!(resident > Some(0), "{kind}: {process}");
    let peak = process["peak_resident_kib"].as_u64();
    assert!(peak >= resident, "{kind}: {process}");
    let descriptors = process["descriptors"].as_u64();
    assert!(descriptors > Some(0), "{kind}: {process}");
}

fn check_requests(requests: &Value, kind: &str) {
    let served = requests["counts"]["served"].as_u64();
    assert!(served > Some(0), "{kind}: {requests}");
    assert!(requests["added"].is_object(), "{kind}: {requests}");
}

fn check_propagation(phase: &Value, kind: &str) {
    let propagation = &phase["spread"];
    assert!(propagation["changes"].as_u64() > Some(0), "{kind}");
    assert_eq!(
        propagation["known_to_all"], propagation["changes"],
        "{kind}"
    );
    for process in phase["processes"].as_array().expect("processes") {
        let bytes = process["discovery_bytes_per_s"].as_f64();
        assert!(bytes > Some(0.0), "{kind}");
    }
}

/// The lab with the small scenario once both processes have started: itself, its log, and their process ids.
fn start_lab() -> (Child, impl Iterator<Item = String>, Vec<u64>) {
    let mut lab = lab();
    lab.arg(scenario("live-small.toml"))
        .arg("--proxy")
        .arg(&*PROXY);
    let mut lab = lab
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the lab runs");
    let log = BufReader::new(lab.stderr.take().expect("a log")).lines();
    let mut log = log.map(|line| line.expect("text"));
    let pid = |line: String| {
        let (_, fields) = line.split_once("proxy started ")?;
        let (_, pid) = fields.rsplit_once("pid=")?;
        pid.trim().parse::<u64>().ok()
    };
    let pids: Vec<u64> = log.by_ref().filter_map(pid).take(2).collect();
    assert_eq!(pids.len(), 2, "both processes have started");
    (lab, log, pids)
}

#[test]
fn processes_end_with_the_lab_when_it_is_told_to_end() {
    for (signal, name) in [(Signal::TERM, "SIGTERM"), (Signal::INT, "SIGINT")] {
        let (mut lab, log, pids) = start_lab();
        let lab_pid = i32::try_from(lab.id())
            .ok()
            .and_then(Pid::from_raw)
            .expect("a process id");
        kill_process(lab_pid, signal).expect("it runs");
        let rest: Vec<String> = log.collect();
        assert_eq!(lab.wait().expect("it ends").code(), Some(1));
        assert!(rest.iter().any(|line| line.contains(name)), "{rest:?}");
        assert!(!pids.into_iter().any(is_running), "every process has ended");
    }
}

#[test]
fn a_process_that_ends_by_itself_ends_the_run() {
    let (mut lab, log, pids) = start_lab();
    let first = i32::try_from(pids[0])
        .ok()
        .and_then(Pid::from_raw)
        .expect("a process id");
    kill_process(first, Signal::KILL).expect("it runs");
    let rest: Vec<String> = log.collect();
    assert_eq!(lab.wait().expect("it ends").code(), Some(1));
    assert!(
        rest.iter().any(|line| line.contains("exited unexpectedly")),
        "{rest:?}"
    );
    assert!(
        !pids.into_iter().any(is_running),
        "the other process has ended too"
    );
}

#[test]
fn a_scenario_that_makes_no_sense_is_refused_with_file_and_key() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("wrong.toml");
    let text = std::fs::read_to_string(scenario("live-small.toml")).expect("a scenario");
    std::fs::write(&path, text.replacen("real = 2", "real = 41", 1)).expect("it is written");
    let output = lab().arg(&path).output().expect("the lab runs");
    assert_eq!(output.status.code(), Some(2));
    let error = error_of(&output);
    assert!(
        error.contains("wrong.toml")
            && error.contains("`processes.real`: must be 1 to 40 processes, found 41"),
        "{error}"
    );
    let output = lab()
        .arg(directory.path().join("none.toml"))
        .output()
        .expect("the lab runs");
    assert_eq!(output.status.code(), Some(2));
    assert!(error_of(&output).contains("none.toml"));
}

#[test]
fn a_missing_proxy_is_named_with_what_to_do() {
    let mut lab = lab();
    lab.arg(scenario("live-small.toml"))
        .args(["--proxy", "no/such/program"]);
    let output = lab.output().expect("the lab runs");
    assert_eq!(output.status.code(), Some(1));
    let error = error_of(&output);
    assert!(
        error.contains("no/such/program") && error.contains("cargo build --release"),
        "{error}"
    );
}

#[test]
fn a_proxy_that_ends_at_once_is_reported() {
    let mut lab = lab();
    let output = lab
        .arg(scenario("live-small.toml"))
        .args(["--proxy", "/bin/false"])
        .output();
    let output = output.expect("the lab runs");
    assert_eq!(output.status.code(), Some(1));
    assert!(
        error_of(&output).contains("closed its log before it logged its listen addresses"),
        "{}",
        error_of(&output)
    );
}
