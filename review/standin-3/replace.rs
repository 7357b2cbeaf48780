//! Two machines of the core are replaced as planned work: their successors start first and have their time to catch up, then
//! the former ones are stopped in order, one after the other. With `VARIANT=disk`, one is replaced, and another one loses its
//! disk then. The configuration is read back at the end.

use crate::cluster::Cluster;
use crate::http;
use crate::record::Record;
use crate::Verdict;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// `graceS` and `catchUpS` of the site file.
const GRACE: Duration = Duration::from_secs(6);
const CATCH_UP: Duration = Duration::from_secs(4);
/// Time for which a machine without its disk is down; the site file has up to 3 s.
const DOWN: Duration = Duration::from_secs(1);
/// Pause after the end of the first process.
const GAP: Duration = Duration::from_secs(1);
/// Time from the last removal to the end of the day: more than `ackMs` + `recoverS`.
const UNTIL_END: Duration = Duration::from_secs(30);
/// Time in which the operator reads the configuration at the end: more than `contactMs`.
const READING: Duration = Duration::from_secs(15);
const CALL: Duration = Duration::from_secs(1);

fn configuration(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"198.18.0.1\",\"pathPrefix\":\"/8080/\",\
         \"type\":\"safe\",\"timeoutMs\":2500,\"targetLatencyMs\":150,\"priority\":2,\"service\":\"desk\",\
         \"maxAttempts\":2}}],\"services\":[{{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConnections\":2000,\
         \"protocol\":\"h1\",\"tls\":false,\"warmupS\":2.0,\"warmupPerS\":0.0}}],\"limits\":{{\
         \"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    )
}

pub fn run(with_trouble: bool, record: &Arc<Record>) -> Result<Verdict, String> {
    let mut cluster = Cluster::start(4, 1, record).map_err(|error| error.to_string())?;
    let text = |error: std::io::Error| error.to_string();
    let publish = |cluster: &Cluster, version: u64, limit| {
        let is_done = cluster.order("PUT", "/config", configuration(version).as_bytes(), limit);
        record.line(&format!("configuration {version} acknowledged: {is_done}"));
        is_done
    };
    if !publish(&cluster, 7, Duration::from_secs(10)) {
        return Err("the first configuration was not acknowledged".to_owned());
    }
    cluster.end_first_start().map_err(text)?;
    std::thread::sleep(Duration::from_secs(3));
    for _ in 0..2 {
        cluster.add_control().map_err(text)?;
    }
    record.line("two successors started");
    std::thread::sleep(CATCH_UP + Duration::from_secs(2));
    if !publish(&cluster, 12, Duration::from_secs(5)) {
        return Err("the second configuration was not acknowledged".to_owned());
    }
    if with_trouble {
        remove_first(&mut cluster, record);
        if std::env::var("VARIANT").is_ok_and(|variant| variant == "disk") {
            lose_disk_of_first(&mut cluster, record).map_err(text)?;
        } else {
            remove_first(&mut cluster, record);
        }
    }
    std::thread::sleep(UNTIL_END);
    let ended: Vec<String> = cluster
        .controls
        .iter_mut()
        .filter_map(|daemon| daemon.has_ended().then(|| daemon.name.clone()))
        .collect();
    record.line(&format!(
        "{} control daemons run, ended by themselves: {ended:?}",
        cluster.controls.len()
    ));
    let newer = publish(&cluster, 20, Duration::from_secs(10));
    let is_read = read_back(&cluster, if newer { 20 } else { 12 }, record);
    Ok(Verdict { broken: usize::from(!is_read), tried: 1 })
}

/// Stops the first machine in order, for good.
fn remove_first(cluster: &mut Cluster, record: &Record) {
    let mut former = cluster.controls.remove(0);
    record.line(&format!("SIGTERM to {}", former.name));
    former.stop(GRACE);
    record.line(&format!("{} has ended and is removed", former.name));
    std::thread::sleep(GAP);
}

/// The first machine loses its disk and is back at its address after a second.
fn lose_disk_of_first(cluster: &mut Cluster, record: &Record) -> std::io::Result<()> {
    let daemon = &mut cluster.controls[0];
    daemon.lose_disk()?;
    record.line(&format!("{} loses its disk", daemon.name));
    std::thread::sleep(DOWN);
    daemon.start()?;
    record.line(&format!("{} is back", daemon.name));
    Ok(())
}

/// Reads the configuration at one daemon after the other. Returns whether the newest acknowledged one comes.
fn read_back(cluster: &Cluster, version: u64, record: &Record) -> bool {
    let end = Instant::now() + READING;
    for to in cluster.control_addresses().into_iter().cycle() {
        match http::call(to, "GET", "/config", b"", CALL) {
            Ok(answer) if answer.status == 200 => {
                let is_newest = answer.body == configuration(version).as_bytes();
                record.line(&format!(
                    "{to} answers with 200, the newest acknowledged one: {is_newest}"
                ));
                return is_newest;
            }
            Ok(answer) => {
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                record.line(&format!("{to} answers with {}: {body}", answer.status));
            }
            Err(error) => record.line(&format!("{to} does not answer: {error}")),
        }
        if Instant::now() >= end {
            record.line("BROKEN: the configuration does not come");
            return false;
        }
        std::thread::sleep(Duration::from_millis(300));
    }
    false
}
