//! A shipped deployment of the real daemons, and the operations that a trial performs on it.

use crate::daemon_settings;
use crate::deployments::{DeploymentFile, ShippedDeployment};
use crate::http::{self, Client, Sent};
use crate::links::{LinkDelays, LinkProxies};
use crate::scenario::wait_for;
use crate::up::{DaemonKind, DaemonPlan, Deployment};
use anyhow::{Context as _, Result, bail};
use comfreyhold_types::api::{ApplyReply, CountsReply, StatusReply};
use comfreyhold_types::prelude::*;
use hyper::{Method, header};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// A daemon or service that is not ready by then fails the trial.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Time after which the fabric stops sending packets to an entry that has crashed.
const ROUTE_WITHDRAWAL_TIME: Duration = Duration::from_secs(1);

const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// A shipped deployment that is running.
pub struct Trial {
    /// The deployment's name.
    pub shipped: ShippedDeployment,
    /// Contents of its deployment file.
    pub file: DeploymentFile,
    /// Daemons, targets, fabric and links.
    pub deployment: Deployment,
    folder: PathBuf,
    /// Next version to publish, by subject.
    next_versions: BTreeMap<String, u64>,
}

impl Trial {
    /// Starts the deployment, publishes its declarations, and waits until every entry serves every
    /// service. Prints its progress.
    ///
    /// # Errors
    /// A part does not start, or the deployment does not serve within the limit.
    pub async fn start(
        shipped: ShippedDeployment,
        binaries: &Path,
        seed: u64,
        folder: &Path,
    ) -> Result<Self> {
        let file = shipped.parse_file()?;
        let delays = LinkDelays {
            between_domains_us: file.between_domains_us,
            to_callers_us: file.to_callers_us,
        };
        println!(
            "starting {shipped}: {} entries, {} control daemons, {} domains, {} targets",
            file.entries,
            file.controls,
            file.domains,
            file.services.iter().map(|s| s.targets).sum::<u16>()
        );
        let settings = file.up_settings(binaries, seed);
        let render = daemon_settings::render;
        let deployment =
            Deployment::start_with_delays(settings, Some(delays), folder, render).await?;
        let folder = folder.to_owned();
        let trial = Self { shipped, file, deployment, folder, next_versions: BTreeMap::new() };
        println!("publishing profiles and services");
        trial.publish(shipped.profiles()).await?;
        trial.publish(&trial.file.service_documents()).await?;
        trial.wait_until_serving().await?;
        println!("serving on all entries");
        Ok(trial)
    }

    /// Addresses at which callers connect to the entries.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.deployment.links.as_ref().map(LinkProxies::caller_addresses).unwrap_or_default()
    }

    /// Addresses of the targets, in the order of the services.
    #[must_use]
    pub fn target_addresses(&self) -> Vec<SocketAddr> {
        self.deployment.targets.iter().map(|target| target.address().into()).collect()
    }

    /// Publishes documents through the leader of the control daemons.
    ///
    /// # Errors
    /// No leader accepts the publication within the limit, or a document is refused.
    pub async fn publish(&self, documents: &str) -> Result<ApplyReply> {
        let reply = wait_for("a leader accepts the publication", START_TIMEOUT, || async {
            for control in self.deployment.plan.of(DaemonKind::Control) {
                let path = "/v1/declarations?operator=lab";
                let body = documents.as_bytes().to_vec();
                let response = http::call(Method::POST, control.http, path, body).await;
                let reply = response.ok().and_then(|body| serde_json::from_slice(&body).ok());
                if let Some(reply) = reply {
                    return Some(reply);
                }
            }
            None
        });
        let reply: ApplyReply = reply.await?;
        match reply.results.iter().find(|result| result.code != 0) {
            Some(refused) => bail!("{} was refused: {}", refused.subject, refused.message),
            None => Ok(reply),
        }
    }

    /// Publishes a failure domain as `out` (withdrawn) or `in` (restored). Returns the milliseconds
    /// until that was in effect, or `None` when it was not reported to be.
    ///
    /// # Errors
    /// As [`Trial::publish`].
    pub async fn publish_domain_state(
        &mut self,
        domain: DomainId,
        state: &str,
    ) -> Result<Option<u64>> {
        let version = self.take_next_version(&format!("domain/{}", domain.0), 1);
        let document =
            format!("kind: domain\nversion: {version}\ndomain: {}\nstate: {state}\n", domain.0);
        let reply = self.publish(&document).await?;
        let effect = reply.results.first().and_then(|result| result.effect.as_ref());
        Ok(effect.and_then(|effect| effect.complete_after_ms))
    }

    /// Publishes the next version of the first shipped profile, with another queue limit. Returns the
    /// milliseconds until it was in effect, or `None` when it was not reported to be.
    ///
    /// # Errors
    /// As [`Trial::publish`].
    pub async fn publish_next_profile(&mut self) -> Result<Option<u64>> {
        let text = self.shipped.profiles();
        let mut publications = comfreyhold_types::document::parse(text, "lab")?;
        let first = publications.swap_remove(0);
        let comfreyhold_types::declarations::Content::Profile(mut profile) = first.content else {
            bail!("the first shipped document is not a profile");
        };
        profile.version = self.take_next_version(&format!("profile/{}", profile.name), 2);
        profile.queue_limit += u32::try_from(profile.version % 2)?;
        let mut document = serde_yaml_ng::to_value(&profile)?;
        if let Some(mapping) = document.as_mapping_mut() {
            mapping.insert("kind".into(), "profile".into());
        }
        let reply = self.publish(&serde_yaml_ng::to_string(&document)?).await?;
        let effect = reply.results.first().and_then(|result| result.effect.as_ref());
        Ok(effect.and_then(|effect| effect.complete_after_ms))
    }

    fn take_next_version(&mut self, subject: &str, first: u64) -> u64 {
        let version = self.next_versions.entry(subject.to_owned()).or_insert(first);
        *version += 1;
        *version - 1
    }

    /// Kills an entry as a crash does, and removes it from the fabric a second later.
    ///
    /// # Errors
    /// There is no such entry, or it can't be killed.
    pub async fn kill_entry(&mut self, name: &str) -> Result<()> {
        let (index, plan) = self.find_daemon(name)?;
        self.deployment.daemons[index].kill().await?;
        if let Some(links) = &mut self.deployment.links {
            links.refuse_callers(plan.instance);
        }
        tokio::time::sleep(ROUTE_WITHDRAWAL_TIME).await;
        self.deployment.fabric.remove_entry(plan.packets);
        Ok(())
    }

    /// Stops an entry with SIGTERM, as operators do.
    ///
    /// # Errors
    /// There is no such entry, or it does not stop cleanly.
    pub async fn stop_entry(&mut self, name: &str) -> Result<()> {
        let (index, plan) = self.find_daemon(name)?;
        let status = self.deployment.daemons[index].terminate(STOP_TIMEOUT).await?;
        self.deployment.fabric.remove_entry(plan.packets);
        if let Some(links) = &mut self.deployment.links {
            links.refuse_callers(plan.instance);
        }
        if !status.success() {
            bail!("{name} stopped with {status}");
        }
        Ok(())
    }

    /// Starts an entry that was killed or stopped, and waits until it is ready.
    ///
    /// # Errors
    /// There is no such entry, or it does not become ready.
    pub async fn restart_entry(&mut self, name: &str) -> Result<()> {
        let (index, plan) = self.find_daemon(name)?;
        let process = self.deployment.start_daemon(&plan, &self.folder).await?;
        self.deployment.daemons[index] = process;
        self.deployment.fabric.add_entry(plan.packets);
        if let Some(links) = &mut self.deployment.links {
            links.accept_callers(&plan).await?;
        }
        wait_for("the entry is ready", START_TIMEOUT, || async {
            read_status(plan.http).await?.ready.then_some(())
        })
        .await
    }

    /// Blocks the links between a failure domain and the others, or restores them.
    pub fn set_isolated(&mut self, domain: DomainId, isolated: bool) {
        if let Some(links) = &mut self.deployment.links {
            links.set_isolated(domain, isolated);
        }
    }

    /// Reads the counts of the control daemon that has received the most, by the total of its counts.
    pub async fn read_counts(&self) -> CountsReply {
        let mut most_complete = CountsReply::default();
        let total = |reply: &CountsReply| reply.rows.iter().map(|row| row.count).sum::<u64>();
        for control in self.deployment.plan.of(DaemonKind::Control) {
            let reply = http::get_json::<CountsReply>(control.http, "/v1/counts").await;
            if let Ok(reply) = reply
                && total(&reply) >= total(&most_complete)
            {
                most_complete = reply;
            }
        }
        most_complete
    }

    fn find_daemon(&self, name: &str) -> Result<(usize, DaemonPlan)> {
        let mut daemons = self.deployment.plan.daemons.iter().enumerate();
        let found = daemons.find(|(_, daemon)| daemon.name == name);
        let (index, plan) = found.with_context(|| format!("no daemon is named {name}"))?;
        Ok((index, plan.clone()))
    }

    async fn wait_until_serving(&self) -> Result<()> {
        for caller in self.caller_addresses() {
            for service in &self.file.services {
                let what = format!("{caller} serves {}", service.name);
                let ready = || async { serves(caller, &service.name).await.then_some(()) };
                wait_for(&what, START_TIMEOUT, ready).await?;
            }
        }
        for entry in self.deployment.plan.of(DaemonKind::Entry) {
            wait_for("the key replicas vote", START_TIMEOUT, || async {
                let status = read_status(entry.http).await?;
                (status.details.get("keys_vote")? == "true").then_some(())
            })
            .await?;
        }
        Ok(())
    }
}

async fn read_status(address: SocketAddr) -> Option<StatusReply> {
    http::get_json(address, "/v1/status").await.ok()
}

async fn serves(caller: SocketAddr, service: &str) -> bool {
    let Ok(mut request) = http::request(Method::GET, caller, "/ready", "") else { return false };
    let Ok(host) = service.parse() else { return false };
    request.headers_mut().insert(header::HOST, host);
    match Client::default().send(caller, request, http::CONTROL_TIMEOUT).await {
        Sent::Answered(response) => response.status().is_success(),
        Sent::NotWritten(_) | Sent::Lost(_) => false,
    }
}
