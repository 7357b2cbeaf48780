//! A small deployment of the platform's programs on loopback addresses, as the deploy file starts them.

use crate::http;
use crate::record::{random, Record};
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub const DATA_PORT: u16 = 8172;
const READY_PORT: u16 = 8167;
const CONTROL_PORT: u16 = 8166;
const EXCHANGE_PORT: u16 = 7720;

/// Addresses of one run, in a network 127.x.y.0/24 that nothing else uses.
#[derive(Clone, Copy)]
pub struct Net([u8; 2]);

impl Net {
    pub fn find() -> Self {
        loop {
            let [a, b, ..] = random().to_le_bytes();
            let net = Self([a.clamp(16, 250), b]);
            let is_free = [1, 11].iter().all(|host| {
                TcpListener::bind(SocketAddrV4::new(net.ip(*host), CONTROL_PORT)).is_ok()
            });
            if is_free {
                return net;
            }
        }
    }

    pub fn ip(self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.0[0], self.0[1], host)
    }
}

pub struct Daemon {
    pub name: String,
    pub ip: Ipv4Addr,
    role: &'static str,
    metrics_port: u16,
    settings: PathBuf,
    data: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    pub fn data(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, DATA_PORT)
    }

    pub fn control(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, CONTROL_PORT)
    }

    pub fn is_ready(&self) -> bool {
        let to = SocketAddrV4::new(self.ip, READY_PORT);
        http::call(to, "GET", "/ready", b"", Duration::from_millis(300))
            .is_ok_and(|a| a.status == 200)
    }

    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/comfreyhold-platform")
            .args(["--metrics-port", &self.metrics_port.to_string(), self.role])
            .env("COMFREYHOLD_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends SIGTERM and waits until the process has ended. Kills it after `grace`, as the platform does.
    pub fn stop(&mut self, grace: Duration) {
        let Some(pid) = self.pid() else { return };
        let _ = Command::new("sh").args(["-c", &format!("kill -TERM {pid}")]).status();
        let end = Instant::now() + grace;
        while !self.has_ended() && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(10));
        }
        self.kill();
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Ends the process with its disk.
    pub fn lose_disk(&mut self) -> std::io::Result<()> {
        self.kill();
        fs::remove_dir_all(&self.data)
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }
}

pub struct Cluster {
    pub net: Net,
    pub entries: Vec<Daemon>,
    pub controls: Vec<Daemon>,
    folder: PathBuf,
}

impl Cluster {
    /// Starts `controls` control daemons and `entries` entries. The first three control daemons are the seeds.
    pub fn start(controls: u8, entries: u8, record: &Arc<Record>) -> std::io::Result<Self> {
        let net = Net::find();
        let folder = std::env::temp_dir().join(format!("review-3-{:016x}", random()));
        fs::create_dir_all(&folder)?;
        let mut cluster = Self { net, entries: Vec::new(), controls: Vec::new(), folder };
        for number in 0..controls {
            let daemon = cluster.daemon("control", number, net.ip(1 + number), true)?;
            cluster.controls.push(daemon);
        }
        for number in 0..entries {
            let daemon = cluster.daemon("entry", number, net.ip(11 + number), true)?;
            cluster.entries.push(daemon);
        }
        for daemon in cluster.controls.iter_mut().chain(&mut cluster.entries) {
            daemon.start()?;
        }
        record.line(&format!("started {controls} control daemons and {entries} entries"));
        Ok(cluster)
    }

    fn daemon(
        &self,
        role: &'static str,
        number: u8,
        ip: Ipv4Addr,
        first: bool,
    ) -> std::io::Result<Daemon> {
        let name = format!("{role}-{number}");
        let settings = self.folder.join(format!("{name}.yaml"));
        let data = self.folder.join(&name);
        let seeds: Vec<String> =
            (0..3).map(|seed| format!("\"{}:{CONTROL_PORT}\"", self.net.ip(1 + seed))).collect();
        let (listen, rest) = if role == "entry" {
            let listen =
                format!("  packets: \"{ip}:{DATA_PORT}\"\n  readiness: \"{ip}:{READY_PORT}\"\n");
            (listen, "limits:\n  link_mbps: 5.3\n".to_owned())
        } else {
            let rest =
                format!("data_folder: \"{}\"\nlimits:\n  link_mbps: 170.0\n", data.display());
            (format!("  control: \"{ip}:{CONTROL_PORT}\"\n"), rest)
        };
        let domain = ["zone-a", "zone-b", "zone-c", "zone-d"][usize::from(number) % 4];
        let text = format!(
            "instance: \"{name}\"\ndomain: \"{domain}\"\nip: \"{ip}\"\nexchange_port: {EXCHANGE_PORT}\n\
             seeds: [{}]\nfirst_start: {first}\nlisten:\n{listen}announce_interval_ms: 1200\n\
             tolerate:\n  instances: 1\nbounds:\n  stop_s: 6\n{rest}",
            seeds.join(", ")
        );
        fs::write(&settings, text)?;
        let log = self.folder.join(format!("{name}.log"));
        let metrics_port = if role == "entry" { 9464 } else { 9465 };
        Ok(Daemon { name, ip, role, metrics_port, settings, data, log, child: None })
    }

    /// Adds a control daemon with an empty folder at a new address. It is told the seeds, and that it is not the first start.
    pub fn add_control(&mut self) -> std::io::Result<()> {
        let number = self.controls.len() as u8;
        let mut daemon = self.daemon("control", number, self.net.ip(1 + number), false)?;
        daemon.start()?;
        self.controls.push(daemon);
        Ok(())
    }

    /// After the first start, no daemon is told that it is the first one.
    pub fn end_first_start(&self) -> std::io::Result<()> {
        for daemon in self.controls.iter().chain(&self.entries) {
            let text = fs::read_to_string(&daemon.settings)?;
            fs::write(&daemon.settings, text.replace("first_start: true", "first_start: false"))?;
        }
        Ok(())
    }

    pub fn control_addresses(&self) -> Vec<SocketAddrV4> {
        self.controls.iter().map(Daemon::control).collect()
    }

    pub fn entry_addresses(&self) -> Vec<SocketAddrV4> {
        self.entries.iter().map(Daemon::data).collect()
    }

    /// Sends an order to one daemon after the other until one acknowledges it. Returns whether one did.
    pub fn order(&self, method: &str, path: &str, body: &[u8], limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let mut pause = Duration::from_millis(20);
        for to in self.control_addresses().into_iter().cycle() {
            match http::call(to, method, path, body, Duration::from_secs(1)) {
                Ok(answer) if answer.status == 200 => return true,
                _ if Instant::now() >= end => return false,
                _ => std::thread::sleep(pause),
            }
            pause = (pause * 2).min(Duration::from_millis(500));
        }
        false
    }

    /// Waits until all entries are ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while !self.entries.iter().all(Daemon::is_ready) {
            if Instant::now() >= end {
                return false;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        true
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.controls.iter_mut().chain(&mut self.entries).for_each(Daemon::kill);
        let _ = fs::remove_dir_all(&self.folder);
    }
}
