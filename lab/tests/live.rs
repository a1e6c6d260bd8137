//! Runs the program `tillerproxy-lab live` with real processes of the proxy.

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::LazyLock;

/// Path of the proxy program. It belongs to another package, so cargo builds it and reports its path.
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
        .expect("cargo can be started");
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let messages = output.stdout.split(|&byte| byte == b'\n');
    let mut messages = messages.filter_map(|line| serde_json::from_slice::<Value>(line).ok());
    let program = messages.find_map(|message| message["executable"].as_str().map(PathBuf::from));
    program.expect("cargo reports the path of the program")
});

/// Returns the path of a bundled scenario.
fn scenario(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("scenarios")
        .join(name)
}

/// Returns the command `tillerproxy-lab live --quiet`.
fn lab_command() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tillerproxy-lab"));
    command
        .args(["live", "--quiet"])
        .env_remove("RUST_LOG")
        // The tests parse fields of log lines, which must not contain escape codes.
        .env("NO_COLOR", "1");
    command
}

fn is_running(pid: u64) -> bool {
    Path::new("/proc").join(pid.to_string()).exists()
}

fn send_signal(pid: u32, signal: Signal) {
    let pid = i32::try_from(pid)
        .ok()
        .and_then(Pid::from_raw)
        .expect("process ids are positive and fit in an i32");
    kill_process(pid, signal).expect("the process runs until it is signalled");
}

fn stderr_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn small_scenario_runs_all_phases_and_ends_all_processes() {
    let directory = tempfile::tempdir().expect("a temporary directory can be created");
    let json = directory.path().join("live.json");
    let mut lab = lab_command();
    let output = lab
        .arg(scenario("live-small.toml"))
        .arg("--proxy")
        .arg(&*PROXY)
        .arg("--json")
        .arg(&json);
    let output = output.output().expect("the lab program can be started");
    assert!(output.status.success(), "{}", stderr_text(&output));
    let table = String::from_utf8(output.stdout).expect("the report is UTF-8");
    let result = std::fs::read(json).expect("the lab wrote its result");
    let result: Value = serde_json::from_slice(&result).expect("the result is JSON");
    assert_eq!(result["run"]["experiment"], "live");
    let phases = result["measured"]["phases"]
        .as_array()
        .expect("`phases` is an array");
    assert_eq!(phases.len(), 10);
    for phase in phases {
        let kind = phase["kind"].as_str().expect("`kind` is a string");
        assert!(table.contains(kind), "the report contains {kind}");
        check_phase(phase, kind);
    }
    let pids = phases.iter().flat_map(|phase| {
        phase["processes"]
            .as_array()
            .expect("`processes` is an array")
    });
    let mut pids: Vec<u64> = pids
        .map(|process| process["pid"].as_u64().expect("`pid` is a number"))
        .collect();
    pids.sort_unstable();
    pids.dedup();
    assert_eq!(
        pids.len(),
        4,
        "two processes, and two more after the restart"
    );
    assert!(!pids.into_iter().any(is_running), "every process has ended");
}

fn check_phase(phase: &Value, kind: &str) {
    let processes = phase["processes"]
        .as_array()
        .expect("`processes` is an array");
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
    for process in phase["processes"]
        .as_array()
        .expect("`processes` is an array")
    {
        let bytes = process["discovery_bytes_per_s"].as_f64();
        assert!(bytes > Some(0.0), "{kind}");
    }
}

/// Starts the lab with the small scenario and waits until both proxy processes have started. Returns the lab, the rest
/// of its log, and the process ids of the proxies.
fn start_lab() -> (Child, impl Iterator<Item = String>, Vec<u64>) {
    let mut lab = lab_command();
    lab.arg(scenario("live-small.toml"))
        .arg("--proxy")
        .arg(&*PROXY);
    let mut lab = lab
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the lab program can be started");
    let log = BufReader::new(lab.stderr.take().expect("stderr is piped")).lines();
    let mut log = log.map(|line| line.expect("the log is UTF-8"));
    let pid = |line: String| {
        let (_, fields) = line.split_once("proxy started ")?;
        let (_, pid) = fields.rsplit_once("pid=")?;
        pid.trim().parse::<u64>().ok()
    };
    let pids: Vec<u64> = log.by_ref().filter_map(pid).take(2).collect();
    assert_eq!(pids.len(), 2, "the lab logs the start of both processes");
    (lab, log, pids)
}

#[test]
fn interrupted_lab_exits_with_1_and_ends_all_processes() {
    for (signal, name) in [(Signal::TERM, "SIGTERM"), (Signal::INT, "SIGINT")] {
        let (mut lab, log, pids) = start_lab();
        send_signal(lab.id(), signal);
        let rest: Vec<String> = log.collect();
        assert_eq!(
            lab.wait().expect("the lab can be waited for").code(),
            Some(1)
        );
        assert!(rest.iter().any(|line| line.contains(name)), "{rest:?}");
        assert!(!pids.into_iter().any(is_running), "every process has ended");
    }
}

#[test]
fn unexpected_exit_of_a_process_ends_the_run_and_the_other_process() {
    let (mut lab, log, pids) = start_lab();
    let first = u32::try_from(pids[0]).expect("process ids fit in 32 bits");
    send_signal(first, Signal::KILL);
    let rest: Vec<String> = log.collect();
    assert_eq!(
        lab.wait().expect("the lab can be waited for").code(),
        Some(1)
    );
    assert!(
        rest.iter().any(|line| line.contains("exited unexpectedly")),
        "{rest:?}"
    );
    assert!(!pids.into_iter().any(is_running), "every process has ended");
}

#[test]
fn invalid_or_missing_scenario_is_rejected_with_file_and_key() {
    let directory = tempfile::tempdir().expect("a temporary directory can be created");
    let path = directory.path().join("wrong.toml");
    let text = std::fs::read_to_string(scenario("live-small.toml"))
        .expect("the small scenario can be read");
    std::fs::write(&path, text.replacen("real = 2", "real = 41", 1))
        .expect("the changed scenario can be written");
    let output = lab_command()
        .arg(&path)
        .output()
        .expect("the lab program can be started");
    assert_eq!(output.status.code(), Some(2));
    let error = stderr_text(&output);
    assert!(
        error.contains("wrong.toml")
            && error.contains("`processes.real`: must be 1 to 40 processes, found 41"),
        "{error}"
    );
    let output = lab_command()
        .arg(directory.path().join("none.toml"))
        .output()
        .expect("the lab program can be started");
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr_text(&output).contains("none.toml"));
}

#[test]
fn missing_proxy_program_error_names_path_and_build_command() {
    let mut lab = lab_command();
    lab.arg(scenario("live-small.toml"))
        .args(["--proxy", "no/such/program"]);
    let output = lab.output().expect("the lab program can be started");
    assert_eq!(output.status.code(), Some(1));
    let error = stderr_text(&output);
    assert!(
        error.contains("no/such/program") && error.contains("cargo build --release"),
        "{error}"
    );
}

#[test]
fn proxy_that_exits_before_it_listens_is_reported() {
    let mut lab = lab_command();
    let output = lab
        .arg(scenario("live-small.toml"))
        .args(["--proxy", "/bin/false"])
        .output();
    let output = output.expect("the lab program can be started");
    assert_eq!(output.status.code(), Some(1));
    assert!(
        stderr_text(&output).contains("closed its log before it logged its listen addresses"),
        "{}",
        stderr_text(&output)
    );
}
