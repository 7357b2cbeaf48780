//! Runs the `comfreyhold` binary in a temporary folder against a local deployment. The binaries of the
//! daemons are taken from the folder of the `comfreyhold` binary: run `cargo build --workspace` before a
//! test of this package alone.

#![allow(dead_code, clippy::unwrap_used, clippy::panic)]

use comfreyhold_lab::daemon_settings;
use comfreyhold_lab::fabric::PathSettings;
use comfreyhold_lab::scenario::wait_for;
use comfreyhold_lab::up::{Deployment, UpService, UpSettings};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::Duration;
use tempfile::TempDir;

/// Timeout for conditions that hold within seconds on an idle machine.
pub const TIMEOUT: Duration = Duration::from_secs(90);

/// A profile and a service that uses it.
pub const ORDERS: &str = "kind: profile
name: orders
version: 1
priority: high
max_slots: 2
---
kind: service
version: 1
name: orders
address: 10.90.0.1:80
profile: orders
";

/// Exit code and output of a finished command.
#[derive(Debug)]
pub struct CommandOutput {
    /// Exit code; absent if a signal ended the command.
    pub exit_code: Option<i32>,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

impl From<Output> for CommandOutput {
    fn from(output: Output) -> Self {
        Self {
            exit_code: output.status.code(),
            stdout: String::from_utf8(output.stdout).unwrap(),
            stderr: String::from_utf8(output.stderr).unwrap(),
        }
    }
}

/// Runs `comfreyhold` in a folder.
pub fn run(folder: &Path, args: &[&str]) -> CommandOutput {
    let mut command = Command::new(env!("CARGO_BIN_EXE_comfreyhold"));
    command.current_dir(folder).args(args).env_remove("COMFREYHOLD_CONFIG").env("USER", "ana");
    command.output().unwrap().into()
}

/// Checks that a command failed and printed an error with this result code.
pub fn assert_refused(output: &CommandOutput, code: u16) {
    assert_eq!(output.exit_code, Some(1), "{output:?}");
    assert!(output.stderr.starts_with(&format!("comfreyhold: {code} ")), "{output:?}");
}

/// Checks that a command refuses missing and invalid deployment files, and unknown options, each with its
/// result code.
pub fn assert_invalid_config_refused(command: &str, args: &[&str]) {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("bad.yaml"), "members: 3\n").unwrap();
    for file in ["missing.yaml", "bad.yaml"] {
        let output = run(folder.path(), &[&[command, "--config", file], args].concat());
        assert_refused(&output, 3001);
        assert!(output.stderr.contains(file), "{output:?}");
    }
    assert_refused(&run(folder.path(), &[command, "--no-such-option"]), 3002);
}

/// A running deployment, and a temporary folder from which commands run against it.
pub struct TestDeployment {
    /// Running daemons and targets.
    pub processes: Deployment,
    folder: TempDir,
}

impl TestDeployment {
    /// Starts three control daemons, two entries and a target in two failure domains. Waits until the
    /// declarations `ORDERS` are in effect on both entries.
    pub async fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let binary = |name| Path::new(env!("CARGO_BIN_EXE_comfreyhold")).with_file_name(name);
        let service = UpService {
            name: "orders".to_owned(),
            address: "10.90.0.1:80".parse().unwrap(),
            targets: 1,
            slots: 2,
            service_time: "constant:5".to_owned(),
        };
        let settings = UpSettings {
            entry_binary: binary("comfreyhold-entry"),
            control_binary: binary("comfreyhold-control"),
            domains: 2,
            entries: 2,
            controls: 3,
            services: vec![service],
            seed: 7,
            path: PathSettings::default(),
        };
        let started = Deployment::start(settings, folder.path(), daemon_settings::render).await;
        let deployment = Self { processes: started.unwrap(), folder };
        deployment.write("orders.yaml", ORDERS);
        deployment
            .run_until(&["apply", "orders.yaml"], |output| output.stdout.contains("2 entries"))
            .await;
        deployment
    }

    /// The temporary folder, which also holds the daemons' settings.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Writes a file into the temporary folder.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder().join(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    /// Runs a command against the deployment.
    pub fn run(&self, args: &[&str]) -> CommandOutput {
        let mut all = vec![args[0], "--config", "control-1.yaml"];
        all.extend(&args[1..]);
        run(self.folder(), &all)
    }

    /// Repeats a command until it succeeds and its output satisfies the condition.
    pub async fn run_until(
        &self,
        args: &[&str],
        condition: impl Fn(&CommandOutput) -> bool,
    ) -> CommandOutput {
        wait_for("the command prints the expected output", TIMEOUT, || {
            let output = self.run(args);
            let is_expected = output.exit_code == Some(0) && condition(&output);
            std::future::ready(is_expected.then_some(output))
        })
        .await
        .unwrap()
    }

    /// Kills a daemon without a shutdown, as in a crash.
    pub async fn kill(&mut self, name: &str) {
        let daemons = &mut self.processes.daemons;
        daemons.iter_mut().find(|daemon| daemon.name() == name).unwrap().kill().await.unwrap();
    }
}

/// Replaces what differs between runs by placeholders: addresses, revisions, times, long numbers and values
/// of details. Joins words by single spaces.
pub fn normalize(text: &str) -> String {
    let lines = text.lines().map(|line| {
        let mut previous = "";
        let tokens = line.split_whitespace().map(|token| {
            let is_time = std::mem::replace(&mut previous, token) == "after";
            if is_time { "[time]".to_owned() } else { normalize_token(token) }
        });
        tokens.collect::<Vec<_>>().join(" ")
    });
    lines.collect::<Vec<_>>().join("\n")
}

fn normalize_token(token: &str) -> String {
    let word = token.trim_end_matches([';', ',', ':']);
    let punctuation = &token[word.len()..];
    let is_digits = |text: &str| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    if word.parse::<SocketAddr>().is_ok() {
        return format!("[address]{punctuation}");
    }
    if word.strip_prefix('r').is_some_and(is_digits) {
        return format!("[revision]{punctuation}");
    }
    if is_digits(word) && word.len() > 1 {
        return format!("[number]{punctuation}");
    }
    match word.split_once('=') {
        Some((name, _)) if !name.is_empty() => format!("{name}=[value]{punctuation}"),
        _ => token.to_owned(),
    }
}
