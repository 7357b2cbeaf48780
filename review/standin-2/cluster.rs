//! Starts the project's programs as separate processes, with the commands of the deploy file and settings of a small
//! deployment, on loopback addresses of their own.

use std::fs;
use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

pub const CONTROL_PORT: u16 = 8166;
pub const READINESS_PORT: u16 = 8167;
pub const PACKET_PORT: u16 = 8172;
pub const EXCHANGE_PORT: u16 = 7720;
const CONTROL_METRICS_PORT: u16 = 9465;
const ENTRY_METRICS_PORT: u16 = 9464;
const PROGRAM: &str = "target/release/comfreyhold-platform";

/// Role of a process.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Control,
    Entry,
}

impl Role {
    fn words(self) -> [String; 3] {
        let (port, command) = match self {
            Self::Control => (CONTROL_METRICS_PORT, "control"),
            Self::Entry => (ENTRY_METRICS_PORT, "entry"),
        };
        ["--metrics-port".to_owned(), port.to_string(), command.to_owned()]
    }
}

/// One machine of the deployment.
pub struct Machine {
    pub role: Role,
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
}

/// Settings that differ between the cases.
pub struct Shape {
    pub zones: Vec<&'static str>,
    pub controls: usize,
    pub entries_per_zone: usize,
    pub heartbeat_ms: u64,
    /// Rate of the entries' links, in Mbit/s.
    pub entry_mbps: f64,
    /// Machines with a disk that may be lost at once.
    pub tolerated: usize,
    /// Whether the control daemons listen behind proxies for the other processes.
    pub has_proxies: bool,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            zones: vec!["za", "zb"],
            controls: 3,
            entries_per_zone: 1,
            heartbeat_ms: 770,
            entry_mbps: 1_000.0,
            tolerated: 1,
            has_proxies: false,
        }
    }
}

/// Tells process ids, which change with each start.
pub type ProcessIds = Arc<dyn Fn() -> Vec<u32> + Send + Sync>;

/// Children by machine; `None` while the process of a machine does not run.
type Children = Arc<Mutex<Vec<Option<Child>>>>;

/// A running deployment. Its processes end when it is dropped.
pub struct Cluster {
    pub machines: Vec<Machine>,
    pub block: u8,
    heartbeat_ms: u64,
    entry_mbps: f64,
    tolerated: usize,
    has_proxies: bool,
    folder: PathBuf,
    children: Children,
}

impl Cluster {
    /// Chooses a free block of addresses, 127.B.0.0/16, and starts all processes for the first time.
    pub fn start(shape: &Shape) -> io::Result<Self> {
        let cluster = Self::new(shape)?;
        cluster.start_all(true)?;
        Ok(cluster)
    }

    /// Chooses a free block of addresses, 127.B.0.0/16, without starting a process.
    pub fn new(shape: &Shape) -> io::Result<Self> {
        let block = free_block().ok_or_else(|| io::Error::other("no free block of addresses"))?;
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let zone = |index: usize| shape.zones[index % shape.zones.len()].to_owned();
        let mut machines = Vec::new();
        for index in 0..shape.controls {
            let (zone, ip) = (zone(index), Ipv4Addr::new(127, block, 1, index as u8 + 1));
            machines.push(Machine { role: Role::Control, name: format!("core-{index}"), zone, ip });
        }
        for index in 0..shape.entries_per_zone * shape.zones.len() {
            let (zone, ip) = (zone(index), Ipv4Addr::new(127, block, 2, index as u8 + 1));
            machines.push(Machine { role: Role::Entry, name: format!("front-{index}"), zone, ip });
        }
        let children = Arc::new(Mutex::new(machines.iter().map(|_| None).collect()));
        let Shape { heartbeat_ms, entry_mbps, tolerated, has_proxies, .. } = *shape;
        Ok(Self {
            machines,
            block,
            heartbeat_ms,
            entry_mbps,
            tolerated,
            has_proxies,
            folder,
            children,
        })
    }

    /// Starts the processes of all machines.
    pub fn start_all(&self, bootstrap: bool) -> io::Result<()> {
        (0..self.machines.len()).try_for_each(|index| self.start_process(index, bootstrap))
    }

    /// Address at which a control daemon listens for other processes, if it does so behind a proxy.
    pub fn bound_exchange(&self, machine: &Machine) -> SocketAddr {
        (Ipv4Addr::new(127, self.block, 5, machine.ip.octets()[3]), EXCHANGE_PORT).into()
    }

    /// Tells the process ids of some machines, at any time.
    pub fn process_ids(&self, machines: Vec<usize>) -> ProcessIds {
        let children = Arc::clone(&self.children);
        Arc::new(move || {
            let children = children.lock().unwrap_or_else(PoisonError::into_inner);
            machines.iter().filter_map(|index| children[*index].as_ref()).map(Child::id).collect()
        })
    }

    /// Starts the process of a machine. `bootstrap` is true at the first start only.
    pub fn start_process(&self, index: usize, bootstrap: bool) -> io::Result<()> {
        let machine = &self.machines[index];
        let settings = self.folder.join(format!("{}.yaml", machine.name));
        fs::write(&settings, self.settings(machine, bootstrap)?)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", machine.name)))?;
        let child = Command::new(PROGRAM)
            .args(machine.role.words())
            .env("COMFREYHOLD_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.lock()[index] = Some(child);
        Ok(())
    }

    /// Kills the process of a machine, as SIGKILL does.
    pub fn kill(&self, index: usize) {
        if let Some(mut child) = self.lock()[index].take() {
            // A process that has ended already needs no signal.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether every process runs.
    pub fn all_run(&self) -> bool {
        let mut children = self.lock();
        children.iter_mut().flatten().all(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Indices of the machines with a role.
    pub fn with_role(&self, role: Role) -> Vec<usize> {
        (0..self.machines.len()).filter(|index| self.machines[*index].role == role).collect()
    }

    /// Addresses at which the control daemons serve the operator and backends.
    pub fn controls(&self) -> Vec<SocketAddr> {
        let controls = self.machines.iter().filter(|machine| machine.role == Role::Control);
        controls.map(|machine| (machine.ip, CONTROL_PORT).into()).collect()
    }

    /// Waits until every entry reports that it is ready. Returns whether they did within `limit`.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        let entries: Vec<SocketAddr> = self
            .with_role(Role::Entry)
            .into_iter()
            .map(|index| (self.machines[index].ip, READINESS_PORT).into())
            .collect();
        while Instant::now() < deadline {
            let is_ready = |to: &SocketAddr| {
                let probe =
                    crate::http::call(*to, "GET", "/ready", b"", Duration::from_millis(300));
                probe.is_ok_and(|response| response.status == 200)
            };
            if entries.iter().all(is_ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// The settings that `deploy/settings.yaml` yields.
    fn settings(&self, machine: &Machine, bootstrap: bool) -> io::Result<String> {
        let seeds: Vec<String> =
            self.controls().iter().take(3).map(|seed| format!("\"{seed}\"")).collect();
        let ip = machine.ip;
        let mut text = format!(
            "instance: \"{}\"\ndomain: \"{}\"\nip: \"{ip}\"\nexchange_port: {EXCHANGE_PORT}\n\
             seeds: [{}]\nfirst_start: {bootstrap}\nlisten:\n",
            machine.name,
            machine.zone,
            seeds.join(","),
        );
        if machine.role == Role::Control {
            let data = self.folder.join(format!("{}-data", machine.name));
            fs::create_dir_all(&data)?;
            text += &format!("  control: \"{ip}:{CONTROL_PORT}\"\n");
            if self.has_proxies {
                text += &format!("exchange_bind: \"{}\"\n", self.bound_exchange(machine));
            }
            text += &format!("data_folder: \"{}\"\n", data.display());
        } else {
            text += &format!("  packets: \"{ip}:{PACKET_PORT}\"\n");
            text += &format!("  readiness: \"{ip}:{READINESS_PORT}\"\n");
        }
        text += &format!("announce_interval_ms: {}\n", self.heartbeat_ms);
        text += &format!("tolerate:\n  instances: {}\nbounds:\n  stop_s: 6\n", self.tolerated);
        let mbps = if machine.role == Role::Entry { self.entry_mbps } else { 1_000.0 };
        text += &format!("limits:\n  link_mbps: {mbps:.1}\n");
        Ok(text)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Option<Child>>> {
        self.children.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Kills all processes and removes the temporary folder.
    pub fn end(&self) {
        for index in 0..self.machines.len() {
            self.kill(index);
        }
        // What is left in the temporary folder does no harm.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.end();
    }
}

/// Finds a block in which the ports of the first machines are free.
fn free_block() -> Option<u8> {
    let first = 64 + (std::process::id() % 128) as u8;
    (0..128_u8).map(|step| 64 + (first - 64 + step) % 128).find(|block| {
        let free =
            |port, net| TcpListener::bind((Ipv4Addr::new(127, *block, net, 1), port)).is_ok();
        free(CONTROL_PORT, 1)
            && free(EXCHANGE_PORT, 1)
            && free(READINESS_PORT, 2)
            && UdpSocket::bind((Ipv4Addr::new(127, *block, 2, 1), PACKET_PORT)).is_ok()
    })
}
