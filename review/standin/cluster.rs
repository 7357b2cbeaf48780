//! Starts, freezes and ends the project's programs, with settings as `deploy/settings.yaml` renders them.

use crate::http;
use crate::record::Record;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

/// Bounds of the deployment, as the users' pages state them for the small sites.
pub const CONTACT: Duration = Duration::from_millis(4_000);
pub const DRAIN: Duration = Duration::from_millis(3_000);
pub const EVACUATION: Duration = Duration::from_millis(5_000);
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub const ZONES: [&str; 4] = ["a", "b", "c", "d"];
const READY_TIMEOUT: Duration = Duration::from_secs(40);

/// All processes of the run. They are ended by their ids.
#[derive(Clone, Default)]
pub struct Processes(Arc<Mutex<Vec<Child>>>);

impl Processes {
    fn spawn(&self, mut command: Command) -> Result<u32, String> {
        let child = command.spawn().map_err(|error| format!("{command:?}: {error}"))?;
        let id = child.id();
        self.0.lock().unwrap().push(child);
        Ok(id)
    }

    pub fn end_all(&self) {
        for mut child in self.0.lock().unwrap().drain(..) {
            signal(child.id(), SIGKILL);
            let _ = child.wait();
        }
    }

    /// Stops a process in order, and waits for its end.
    fn stop(&self, id: u32) -> Result<(), String> {
        signal(id, SIGTERM);
        let mut children = self.0.lock().unwrap();
        let position = children.iter().position(|child| child.id() == id).ok_or("no process")?;
        children.remove(position).wait().map(|_| ()).map_err(|error| error.to_string())
    }

    /// Whether a process has ended by itself.
    pub fn any_ended(&self) -> bool {
        self.0.lock().unwrap().iter_mut().any(|child| !matches!(child.try_wait(), Ok(None)))
    }
}

fn signal(id: u32, signal: i32) {
    // SAFETY: sends a signal to a process that this run has started and not waited for.
    unsafe { kill(id as i32, signal) };
}

#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub packets: u16,
    pub readiness: u16,
    pub control: u16,
    pub exchange: u16,
}

pub struct Cluster {
    pub octet: u8,
    pub ports: Ports,
    /// Zone of each entry.
    pub entry_zones: Vec<usize>,
    control_ids: Vec<u32>,
    is_first_start: bool,
    folder: PathBuf,
    processes: Processes,
    record: Arc<Record>,
    _guard: TcpListener,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.processes.end_all();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Cluster {
    /// Starts four control daemons, one in each zone, and the entries.
    pub fn start(
        entry_zones: &[usize],
        processes: Processes,
        record: Arc<Record>,
    ) -> Result<Self, String> {
        let (octet, guard) = reserve_network()?;
        let ports = free_ports(octet)?;
        let folder = std::env::temp_dir().join(format!("standin-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let mut cluster = Self {
            octet,
            ports,
            entry_zones: entry_zones.to_vec(),
            control_ids: Vec::new(),
            is_first_start: true,
            folder,
            processes,
            record,
            _guard: guard,
        };
        for index in 0..ZONES.len() {
            let id = cluster.start_control(index)?;
            cluster.control_ids.push(id);
        }
        for index in 0..entry_zones.len() {
            cluster.start_entry(index)?;
        }
        Ok(cluster)
    }

    pub fn control_ip(&self, index: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.octet, 1, index as u8 + 1)
    }

    pub fn control(&self, index: usize) -> SocketAddr {
        (self.control_ip(index), self.ports.control).into()
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..ZONES.len()).map(|index| self.control(index)).collect()
    }

    fn entry_ip(&self, index: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.octet, 4, index as u8 + 1)
    }

    pub fn entry(&self, index: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.entry_ip(index), self.ports.packets)
    }

    /// Address of the only route.
    pub fn route(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.octet, 9, 1), 8_443)
    }

    fn start_control(&self, index: usize) -> Result<u32, String> {
        let ip = self.control_ip(index);
        let data = self.folder.join(format!("data-{index}"));
        fs::create_dir_all(&data).map_err(|error| error.to_string())?;
        let own =
            format!("listen:\n  control: \"{ip}:{}\"\ndata_folder: {data:?}\n", self.ports.control);
        self.start_process(&format!("core-{index}"), ZONES[index], ip, &own, &["9465", "control"])
    }

    fn start_entry(&self, index: usize) -> Result<u32, String> {
        let ip = self.entry_ip(index);
        let own = format!(
            "listen:\n  packets: \"{ip}:{}\"\n  readiness: \"{ip}:{}\"\n",
            self.ports.packets, self.ports.readiness
        );
        let zone = ZONES[self.entry_zones[index]];
        self.start_process(&format!("front-{index}"), zone, ip, &own, &["9464", "entry"])
    }

    fn start_process(
        &self,
        name: &str,
        zone: &str,
        ip: Ipv4Addr,
        own: &str,
        [metrics_port, role]: &[&str; 2],
    ) -> Result<u32, String> {
        let seeds: Vec<String> = self.controls()[..3].iter().map(ToString::to_string).collect();
        let settings = format!(
            "instance: {name:?}\ndomain: {zone:?}\nip: \"{ip}\"\nexchange_port: {}\nseeds: {seeds:?}\n\
             first_start: {}\n{own}announce_interval_ms: {}\ntolerate:\n  instances: 1\nbounds:\n  stop_s: 6\n",
            self.ports.exchange,
            self.is_first_start,
            HEARTBEAT.as_millis()
        );
        let path = self.folder.join(format!("{name}.yaml"));
        fs::write(&path, settings).map_err(|error| error.to_string())?;
        let log = fs::File::create(self.folder.join(format!("{name}.log")));
        let log = log.map_err(|error| error.to_string())?;
        let program = std::env::var("PROGRAM")
            .unwrap_or_else(|_| "target/release/comfreyhold-platform".to_owned());
        let mut command = Command::new(program);
        command
            .args(["--metrics-port", metrics_port, role])
            .env("COMFREYHOLD_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|error| error.to_string())?)
            .stderr(log);
        self.processes.spawn(command)
    }

    /// Sends the configuration until it is acknowledged, at any daemon.
    pub fn publish(&self) -> Result<(), String> {
        let route = self.route();
        let body = format!(
            "{{\"version\":7,\"routes\":[{{\"name\":\"orders\",\"host\":\"{}\",\"pathPrefix\":\"/{}/\",\
             \"type\":\"safe\",\"timeoutMs\":2500,\"targetLatencyMs\":150,\"priority\":1,\
             \"service\":\"pedidos\",\"maxAttempts\":2}}],\"services\":[{{\"name\":\"pedidos\",\
             \"healthPath\":\"/health\",\"maxConnections\":2000,\"protocol\":\"h1\",\"tls\":false,\
             \"warmupS\":2.0,\"warmupPerS\":0.0}}],\"limits\":{{\"maxHeaderBytes\":16384,\
             \"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
            route.ip(),
            route.port()
        );
        let end = Instant::now() + READY_TIMEOUT;
        for index in (0..ZONES.len()).cycle() {
            let response = http::call(self.control(index), "PUT", "/config", &body);
            if http::is_success(&response) {
                self.record.line("operator: configuration 7 acknowledged");
                return Ok(());
            }
            if Instant::now() > end {
                break;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        Err("the configuration is not acknowledged".to_owned())
    }

    /// Waits until all entries are ready.
    pub fn wait_ready(&self) -> Result<(), String> {
        let end = Instant::now() + READY_TIMEOUT;
        for index in 0..self.entry_zones.len() {
            let address = (self.entry_ip(index), self.ports.readiness).into();
            while !http::is_success(&http::call(address, "GET", "/ready", "")) {
                if Instant::now() > end {
                    return Err(format!("entry {index} is not ready"));
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(())
    }

    /// Stops a control daemon in order, and waits for its end.
    pub fn stop_control(&self, index: usize) -> Result<(), String> {
        self.record.say(&format!("core-{index} is stopped"));
        self.processes.stop(self.control_ids[index])
    }

    /// Starts a control daemon again, with its data folder.
    pub fn restart_control(&mut self, index: usize) -> Result<(), String> {
        self.is_first_start = false;
        self.control_ids[index] = self.start_control(index)?;
        self.record.say(&format!("core-{index} starts again"));
        Ok(())
    }

    pub fn freeze_control(&self, index: usize) {
        self.record.say(&format!("core-{index} freezes"));
        signal(self.control_ids[index], SIGSTOP);
    }

    pub fn thaw_control(&self, index: usize) {
        self.record.say(&format!("core-{index} runs again"));
        signal(self.control_ids[index], SIGCONT);
    }

    /// Sends an order of the operator to one daemon after another, until it is acknowledged. Returns the moment
    /// of the acknowledgement.
    pub fn order(&self, method: &str, path: &str, daemons: &[usize]) -> Result<Instant, String> {
        for index in daemons {
            self.record.line(&format!("operator: {method} {path} sent to core-{index}"));
            let response = http::call(self.control(*index), method, path, "");
            let status = response.as_ref().map(|(status, _)| *status);
            self.record.say(&format!("operator: {method} {path} at core-{index}: {status:?}"));
            if http::is_success(&response) {
                return Ok(Instant::now());
            }
        }
        Err(format!("{method} {path} is not acknowledged"))
    }

    /// Copies what a control daemon has logged about a backend to the record.
    pub fn record_log(&self, index: usize, backend: u64) {
        let log = fs::read_to_string(self.folder.join(format!("core-{index}.log")));
        let target = format!("\"target\":\"g{backend}\"");
        let log = log.unwrap_or_default();
        for line in log.lines().filter(|line| line.contains(&target)) {
            self.record.line(&format!("log of core-{index}: {line}"));
        }
    }
}

fn reserve_network() -> Result<(u8, TcpListener), String> {
    let first = std::process::id() % 200;
    (0..200)
        .find_map(|offset| {
            let octet = (20 + (first + offset) % 200) as u8;
            let guard = TcpListener::bind((Ipv4Addr::new(127, octet, 9, 9), 47_113)).ok()?;
            Some((octet, guard))
        })
        .ok_or_else(|| "no free loopback network".to_owned())
}

fn free_ports(octet: u8) -> Result<Ports, String> {
    let mut held = Vec::new();
    let mut next = || {
        let listener = TcpListener::bind((Ipv4Addr::new(127, octet, 1, 1), 0))?;
        let port = listener.local_addr()?.port();
        held.push(listener);
        Ok::<u16, std::io::Error>(port)
    };
    let mut ports = || {
        Ok::<Ports, std::io::Error>(Ports {
            packets: next()?,
            readiness: next()?,
            control: next()?,
            exchange: next()?,
        })
    };
    ports().map_err(|error| error.to_string())
}
