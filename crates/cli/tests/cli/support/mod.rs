//! The real command line in a scratch folder, against a local deployment. The daemons are taken from
//! the folder of the command line's binary: run `cargo build --workspace` before a test of this package
//! alone.

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

/// Limit for conditions that hold within seconds on an idle machine.
pub const LIMIT: Duration = Duration::from_secs(90);

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

/// What a run of the command line printed.
#[derive(Debug)]
pub struct Ran {
    /// Exit status.
    pub status: Option<i32>,
    /// Standard output.
    pub out: String,
    /// Standard error.
    pub err: String,
}

impl From<Output> for Ran {
    fn from(output: Output) -> Self {
        Self {
            status: output.status.code(),
            out: String::from_utf8(output.stdout).unwrap(),
            err: String::from_utf8(output.stderr).unwrap(),
        }
    }
}

/// Runs the command line in a folder.
pub fn run(folder: &Path, args: &[&str]) -> Ran {
    let mut command = Command::new(env!("CARGO_BIN_EXE_comfreyhold"));
    command.current_dir(folder).args(args).env_remove("COMFREYHOLD_CONFIG").env("USER", "ana");
    command.output().unwrap().into()
}

/// Checks that a run was refused with a numbered error.
pub fn assert_refused(ran: &Ran, code: u16) {
    assert_eq!(ran.status, Some(1), "{ran:?}");
    assert!(ran.err.starts_with(&format!("comfreyhold: {code} ")), "{ran:?}");
}

/// Checks that a command refuses missing and bad deployment files, and unknown options, with their numbers.
pub fn assert_bad_files_refused(command: &str, args: &[&str]) {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("bad.yaml"), "members: 3\n").unwrap();
    for file in ["missing.yaml", "bad.yaml"] {
        let ran = run(folder.path(), &[&[command, "--config", file], args].concat());
        assert_refused(&ran, 3001);
        assert!(ran.err.contains(file), "{ran:?}");
    }
    assert_refused(&run(folder.path(), &[command, "--no-such-option"]), 3002);
}

/// A running deployment and the scratch folder of its operators.
pub struct Scratch {
    /// The daemons and targets.
    pub deployment: Deployment,
    folder: TempDir,
}

impl Scratch {
    /// Starts three control daemons, two entries and a target in two failure domains.
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
        let scratch = Self { deployment: started.unwrap(), folder };
        scratch.write("orders.yaml", ORDERS);
        scratch.until(&["apply", "orders.yaml"], |ran| ran.out.contains("2 entries")).await;
        scratch
    }

    /// The scratch folder.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Writes a file into the scratch folder.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder().join(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    /// Runs a command against the deployment.
    pub fn run(&self, args: &[&str]) -> Ran {
        let mut all = vec![args[0], "--config", "control-1.yaml"];
        all.extend(&args[1..]);
        run(self.folder(), &all)
    }

    /// Runs a command again until its output satisfies the condition.
    pub async fn until(&self, args: &[&str], condition: impl Fn(&Ran) -> bool) -> Ran {
        wait_for("the command prints what is expected", LIMIT, || {
            let ran = self.run(args);
            let holds = ran.status == Some(0) && condition(&ran);
            std::future::ready(holds.then_some(ran))
        })
        .await
        .unwrap()
    }

    /// Kills a daemon as a crash does.
    pub async fn kill(&mut self, name: &str) {
        let daemons = &mut self.deployment.daemons;
        daemons.iter_mut().find(|daemon| daemon.name() == name).unwrap().kill().await.unwrap();
    }
}

/// Output with what differs between runs replaced: addresses, revisions, times, values of details.
pub fn filtered(text: &str) -> String {
    let lines = text.lines().map(|line| {
        let mut before = "";
        let tokens = line.split_whitespace().map(|token| {
            let is_time = std::mem::replace(&mut before, token) == "after";
            if is_time { "[time]".to_owned() } else { filter_token(token) }
        });
        tokens.collect::<Vec<_>>().join(" ")
    });
    lines.collect::<Vec<_>>().join("\n")
}

fn filter_token(token: &str) -> String {
    let word = token.trim_end_matches([';', ',', ':']);
    let tail = &token[word.len()..];
    let digits = |text: &str| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    if word.parse::<SocketAddr>().is_ok() {
        return format!("[address]{tail}");
    }
    if word.strip_prefix('r').is_some_and(digits) {
        return format!("[revision]{tail}");
    }
    if digits(word) && word.len() > 1 {
        return format!("[number]{tail}");
    }
    match word.split_once('=') {
        Some((name, _)) if !name.is_empty() => format!("{name}=[value]{tail}"),
        _ => token.to_owned(),
    }
}
