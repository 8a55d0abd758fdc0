//! A fleet in one process on loopback: stand-ins, dispatchers, gateways.
//!
//! `jayhollow dev` and the benches run on it.

use std::{fs, io, net, path, time};

use crate::{
    bundle, cli,
    decisions::{admission, call_budget, routing},
    dispatcher, fleet, gateway, http_server, ids, link, platform, settings, standin,
};

/// API key of the fleet's workspace.
pub const CALLER_KEY: &str = "dev-key";
/// Operator's key of the fleet.
pub const OPERATOR_KEY: &str = "dev-operator-key";
/// Name of the model that the fleet serves.
pub const MODEL: &str = "demo-model";
/// Name of the plain service that the fleet serves.
pub const SERVICE: &str = "demo-service";
/// Longest wait until everything is ready.
const READY_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Port that the kernel chooses, on loopback.
const ANY_PORT: &str = "127.0.0.1:0";

/// How large a fleet is and how it behaves.
#[derive(Clone)]
pub struct LocalFleetSpec {
    /// Where the first gateway listens for callers.
    pub listen: net::SocketAddr,
    /// Folder that keeps the objects over restarts.
    pub data: Option<path::PathBuf>,
    /// Gateways.
    pub gateways: usize,
    /// Dispatchers.
    pub dispatchers: usize,
    /// Model engines.
    pub engines: usize,
    /// Replicas of the plain service.
    pub plains: usize,
    /// Failure domains that all of them are spread over.
    pub domains: usize,
    /// How the engines behave.
    pub engine: standin::engine_terms::EngineOptions,
    /// How dispatchers run batch work.
    pub batch: settings::dispatcher::BatchSettings,
    /// Fixes the policy of batch work at engines.
    pub policy: Option<admission::BatchPolicy>,
    /// How gateways find endpoints.
    pub online: settings::gateway::OnlineSettings,
    /// Threads of each gateway that answer callers.
    pub workers: usize,
    /// How often daemons look and show themselves.
    pub pace: settings::common::PaceSettings,
    /// The first bundle.
    pub bundle: bundle::BundleDocument,
}

impl Default for LocalFleetSpec {
    fn default() -> Self {
        Self {
            listen: any_port(),
            data: None,
            gateways: 1,
            dispatchers: 1,
            engines: 3,
            plains: 1,
            domains: 1,
            engine: standin::engine_terms::EngineOptions::default(),
            batch: settings::dispatcher::BatchSettings::default(),
            policy: None,
            online: settings::gateway::OnlineSettings::default(),
            workers: 2,
            pace: quick_pace(),
            bundle: local_bundle(),
        }
    }
}

impl LocalFleetSpec {
    /// The same fleet under another routing policy.
    pub fn with_routing(mut self, policy: routing::RoutePolicy) -> Self {
        self.online.routing = policy;
        self
    }
}

/// The address at which the kernel chooses a port.
pub fn any_port() -> net::SocketAddr {
    ANY_PORT.parse().expect("the address is valid")
}

/// Quick paces, as everything is on one machine.
fn quick_pace() -> settings::common::PaceSettings {
    settings::common::PaceSettings {
        heartbeat_ms: 1_000,
        watch_pace_ms: 50,
        endpoints_poll_ms: 200,
        ..settings::common::PaceSettings::default()
    }
}

/// A bundle with one model, one plain service and one workspace.
pub fn local_bundle() -> bundle::BundleDocument {
    bundle::BundleDocument {
        models: vec![bundle::ModelSpec {
            name: MODEL.parse().expect("the name is valid"),
            version: "1".into(),
            adapters: Vec::new(),
        }],
        services: vec![bundle::ServiceSpec {
            name: SERVICE.parse().expect("the name is valid"),
            repeatable: true,
            batch_concurrency: 8,
        }],
        workspaces: vec![bundle::WorkspaceSpec {
            id: "dev".parse().expect("the name is valid"),
            key_hashes: vec![bundle::hash_key(CALLER_KEY)],
            max_concurrency: 100_000,
            max_requests_per_second: 1_000_000,
        }],
        batch: bundle::BatchSpec {
            online_slowdown_percent: 50,
            ..bundle::BatchSpec::default()
        },
    }
}

/// A running fleet.
pub struct LocalFleet {
    /// Where the object service listens.
    pub objects: net::SocketAddr,
    /// Where the engines listen.
    pub engines: Vec<net::SocketAddr>,
    /// The gateways.
    pub gateways: Vec<gateway::GatewayDaemon>,
    /// The dispatchers.
    pub dispatchers: Vec<dispatcher::DispatcherDaemon>,
    standins: Vec<http_server::ServerGuard>,
}

/// Stand-ins that run, and what is listed of them.
struct StartedStandins {
    guards: Vec<http_server::ServerGuard>,
    records: Vec<platform::EndpointRecord>,
}

impl LocalFleet {
    /// Starts a fleet and puts its first bundle in force.
    ///
    /// # Errors
    /// An address cannot be bound, a thread cannot be started, or the fleet is not ready in time.
    pub fn start(spec: &LocalFleetSpec) -> io::Result<Self> {
        let mut standins = start_endpoints(spec)?;
        let engine = |r: &&platform::EndpointRecord| r.kind == platform::EndpointKind::Engine;
        let engines = standins
            .records
            .iter()
            .filter(engine)
            .map(|r| r.address)
            .collect();
        let file = match &spec.data {
            None => None,
            Some(folder) => {
                fs::create_dir_all(folder)?;
                Some(folder.join("objects.json"))
            }
        };
        let objects = standin::objects::start(ANY_PORT, standins.records, file)?;
        let address = objects.address;
        standins.guards.push(objects);
        let secret = link::LinkSecret::new(ids::unique("secret").into_bytes());
        let mut fleet = Self {
            objects: address,
            engines,
            gateways: Vec::new(),
            dispatchers: Vec::new(),
            standins: standins.guards,
        };
        for number in 1..=spec.dispatchers {
            let settings = dispatcher_settings(spec, number, address);
            let daemon = dispatcher::start(settings, secret.clone(), spec.policy)?;
            fleet.dispatchers.push(daemon);
        }
        for number in 1..=spec.gateways {
            let settings = gateway_settings(spec, number, address);
            fleet
                .gateways
                .push(gateway::start(settings, secret.clone())?);
        }
        fleet.make_ready(&spec.bundle)?;
        Ok(fleet)
    }

    /// Puts the first bundle in force and waits until all daemons have it and each other.
    fn make_ready(&self, document: &bundle::BundleDocument) -> io::Result<()> {
        actix_rt::System::new().block_on(async {
            let view = &self.gateways[0].context.fleet;
            view.wait_synced(READY_TIMEOUT).await;
            if view.snapshot().bundle.generation == bundle::BundleGeneration(0) {
                self.submit_bundle(document).await?;
            }
            let deadline = time::Instant::now() + READY_TIMEOUT;
            while !self.is_ready() {
                if time::Instant::now() >= deadline {
                    return Err(io::Error::other("the fleet was not ready in time"));
                }
                actix_rt::time::sleep(time::Duration::from_millis(20)).await;
            }
            Ok(())
        })
    }

    fn is_ready(&self) -> bool {
        let instances = self.gateways.len() + self.dispatchers.len();
        let ready = |view: &fleet::FleetHandle| {
            let snapshot = view.snapshot();
            snapshot.bundle.generation > bundle::BundleGeneration(0)
                && !snapshot.endpoints.is_empty()
                && snapshot.instances.len() == instances
        };
        let gateways = self.gateways.iter().all(|g| ready(&g.context.fleet));
        gateways && self.dispatchers.iter().all(|d| ready(&d.context.fleet))
    }

    /// Proposes a bundle and signs it off.
    ///
    /// # Errors
    /// The gateway refuses it.
    pub async fn submit_bundle(&self, document: &bundle::BundleDocument) -> io::Result<()> {
        let client = cli::client::ApiClient::new(&self.profile(OPERATOR_KEY));
        let document = serde_json::to_vec(document).map_err(io::Error::other)?;
        let draft = client.post("/operator/v1/bundles", document).await;
        let draft = draft.map_err(io::Error::other)?;
        let generation = &draft["draft"]["generation"];
        let path = format!("/operator/v1/bundles/sign-off?generation={generation}");
        client
            .post(&path, Vec::new())
            .await
            .map_err(io::Error::other)?;
        Ok(())
    }

    /// Where callers reach the first gateway.
    pub fn address(&self) -> net::SocketAddr {
        self.gateways[0].address
    }

    /// How the command line reaches the first gateway with a key.
    pub fn profile(&self, key: &str) -> cli::GatewayProfile {
        cli::GatewayProfile {
            url: format!("http://{}", self.address()),
            key: key.to_owned(),
            operator: "dev".into(),
            output: cli::output::OutputForm::Table,
        }
    }

    /// Stops everything, the gateways first.
    ///
    /// # Errors
    /// A server's thread ended with an error.
    pub fn stop(self) -> io::Result<()> {
        for gateway in &self.gateways {
            gateway.context.begin_stop();
        }
        for gateway in self.gateways {
            gateway.stop()?;
        }
        for dispatcher in self.dispatchers {
            dispatcher.stop()?;
        }
        for standin in self.standins {
            standin.stop(false)?;
        }
        Ok(())
    }
}

fn start_endpoints(spec: &LocalFleetSpec) -> io::Result<StartedStandins> {
    let mut started = StartedStandins {
        guards: Vec::new(),
        records: Vec::new(),
    };
    for number in 0..spec.engines {
        let guard = standin::engine::start(ANY_PORT, spec.engine.clone())?;
        let name = format!("engine-{}", number + 1);
        let kind = platform::EndpointKind::Engine;
        started.records.push(record(
            name,
            MODEL,
            kind,
            guard.address,
            domain(spec, number),
        ));
        started.guards.push(guard);
    }
    for number in 0..spec.plains {
        let guard = standin::plain_service::start(ANY_PORT)?;
        let name = format!("plain-{}", number + 1);
        let kind = platform::EndpointKind::Plain;
        started.records.push(record(
            name,
            SERVICE,
            kind,
            guard.address,
            domain(spec, number),
        ));
        started.guards.push(guard);
    }
    Ok(started)
}

fn record(
    id: String,
    service: &str,
    kind: platform::EndpointKind,
    address: net::SocketAddr,
    domain: ids::DomainName,
) -> platform::EndpointRecord {
    platform::EndpointRecord {
        id: ids::EndpointId::try_from(id).expect("the name is valid"),
        service: service.parse().expect("the name is valid"),
        kind,
        address,
        domain,
        state: platform::EndpointState::Live,
    }
}

fn domain(spec: &LocalFleetSpec, number: usize) -> ids::DomainName {
    let name = format!("domain-{}", number % spec.domains.max(1) + 1);
    ids::DomainName::try_from(name).expect("the name is valid")
}

fn instance(
    spec: &LocalFleetSpec,
    role: &str,
    number: usize,
) -> settings::common::InstanceSettings {
    let id = format!("{role}-{number}");
    settings::common::InstanceSettings {
        id: ids::InstanceId::try_from(id).expect("the name is valid"),
        domain: domain(spec, number),
    }
}

fn store(objects: net::SocketAddr) -> settings::common::StoreSettings {
    settings::common::StoreSettings {
        url: format!("http://{objects}"),
        calls_per_second: call_budget::CallRate(1000.0),
    }
}

fn link_settings() -> settings::common::LinkSettings {
    settings::common::LinkSettings {
        listen: any_port(),
        secret_file: path::PathBuf::new(),
        permit_timeout_ms: 30,
    }
}

fn dispatcher_settings(
    spec: &LocalFleetSpec,
    number: usize,
    objects: net::SocketAddr,
) -> settings::dispatcher::DispatcherSettings {
    settings::dispatcher::DispatcherSettings {
        instance: instance(spec, "dispatcher", number),
        store: store(objects),
        link: link_settings(),
        pace: spec.pace.clone(),
        batch: spec.batch.clone(),
        metrics_listen: Some(any_port()),
    }
}

fn gateway_settings(
    spec: &LocalFleetSpec,
    number: usize,
    objects: net::SocketAddr,
) -> settings::gateway::GatewaySettings {
    settings::gateway::GatewaySettings {
        instance: instance(spec, "gateway", number),
        store: store(objects),
        link: link_settings(),
        callers: settings::gateway::CallerSettings {
            listen: if number == 1 { spec.listen } else { any_port() },
            workers: spec.workers,
            tls: None,
            limits: settings::gateway::InputLimits::default(),
            stop_timeout_ms: 60_000,
        },
        pace: spec.pace.clone(),
        online: spec.online.clone(),
        operator_key_hashes: vec![bundle::hash_key(OPERATOR_KEY)],
    }
}
