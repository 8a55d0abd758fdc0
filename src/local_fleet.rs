//! Fleet of stand-ins, dispatchers and gateways in one process, on the loopback interface.
//!
//! Used by `jayhollow dev` and the benchmarks.

use std::{fs, io, net, path, time};

use crate::{
    bundle, cli,
    decisions::{admission, call_budget, routing},
    dispatcher, fleet, gateway, http_server, ids, link, platform, settings, standin,
};

/// API key of the local workspace.
pub const CALLER_KEY: &str = "dev-key";
/// Operator key of the local fleet.
pub const OPERATOR_KEY: &str = "dev-operator-key";
/// Name of the model that the fleet serves.
pub const MODEL: &str = "demo-model";
/// Name of the plain service that the fleet serves.
pub const SERVICE: &str = "demo-service";
/// Maximum wait for the fleet to become ready, applied to each startup step.
const READY_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Loopback address with a port chosen by the kernel.
const ANY_PORT: &str = "127.0.0.1:0";

/// Size and behaviour of a local fleet.
#[derive(Clone)]
pub struct LocalFleetSpec {
    /// Address on which the first gateway listens for callers.
    pub listen: net::SocketAddr,
    /// Directory in which objects persist across restarts, if any.
    pub data: Option<path::PathBuf>,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of dispatchers.
    pub dispatchers: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of replicas of the plain service.
    pub plains: usize,
    /// Number of failure domains across which processes and endpoints are spread.
    pub domains: usize,
    /// Options of the stand-in engines.
    pub engine: standin::engine_terms::EngineOptions,
    /// Batch settings of the dispatchers.
    pub batch: settings::dispatcher::BatchSettings,
    /// Batch policy at engines, if fixed.
    pub policy: Option<admission::BatchPolicy>,
    /// Online settings of the gateways.
    pub online: settings::gateway::OnlineSettings,
    /// Number of worker threads of each gateway.
    pub workers: usize,
    /// Polling and heartbeat intervals of the daemons.
    pub pace: settings::common::PaceSettings,
    /// Initial bundle.
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
    /// Sets the routing policy.
    pub fn with_routing(mut self, policy: routing::RoutePolicy) -> Self {
        self.online.routing = policy;
        self
    }
}

/// Returns the loopback address with a port chosen by the kernel.
pub fn any_port() -> net::SocketAddr {
    ANY_PORT.parse().expect("the address is valid")
}

/// Returns short intervals, which are affordable because everything runs on one machine.
fn quick_pace() -> settings::common::PaceSettings {
    settings::common::PaceSettings {
        heartbeat_ms: 1_000,
        watch_pace_ms: 50,
        endpoints_poll_ms: 200,
        ..settings::common::PaceSettings::default()
    }
}

/// Returns a bundle with one model, one plain service and one workspace.
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

/// Running local fleet.
pub struct LocalFleet {
    /// Address of the object service.
    pub objects: net::SocketAddr,
    /// Addresses of the engines.
    pub engines: Vec<net::SocketAddr>,
    /// Running gateways.
    pub gateways: Vec<gateway::GatewayDaemon>,
    /// Running dispatchers.
    pub dispatchers: Vec<dispatcher::DispatcherDaemon>,
    standins: Vec<http_server::ServerGuard>,
}

/// Running stand-ins and their endpoint records.
struct StartedStandins {
    guards: Vec<http_server::ServerGuard>,
    records: Vec<platform::EndpointRecord>,
}

impl LocalFleet {
    /// Starts a fleet and activates its initial bundle.
    ///
    /// # Errors
    /// Returns an error if an address cannot be bound, a thread cannot be started, the bundle
    /// is rejected, or the fleet does not become ready in time.
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

    /// Activates the initial bundle unless there is one, and waits until all daemons have a
    /// bundle, endpoints and the full member list.
    fn make_ready(&self, document: &bundle::BundleDocument) -> io::Result<()> {
        actix_rt::System::new().block_on(async {
            let handle = &self.gateways[0].context.fleet;
            handle.wait_synced(READY_TIMEOUT).await;
            if handle.snapshot().bundle.generation == bundle::BundleGeneration(0) {
                self.submit_bundle(document).await?;
            }
            let deadline = time::Instant::now() + READY_TIMEOUT;
            while !self.is_ready() {
                if time::Instant::now() >= deadline {
                    return Err(io::Error::other("the fleet did not become ready in time"));
                }
                actix_rt::time::sleep(time::Duration::from_millis(20)).await;
            }
            Ok(())
        })
    }

    fn is_ready(&self) -> bool {
        let instances = self.gateways.len() + self.dispatchers.len();
        let ready = |handle: &fleet::FleetHandle| {
            let snapshot = handle.snapshot();
            snapshot.bundle.generation > bundle::BundleGeneration(0)
                && !snapshot.endpoints.is_empty()
                && snapshot.instances.len() == instances
        };
        let gateways = self.gateways.iter().all(|g| ready(&g.context.fleet));
        gateways && self.dispatchers.iter().all(|d| ready(&d.context.fleet))
    }

    /// Submits a bundle as a draft and approves it.
    ///
    /// # Errors
    /// Returns an error if the gateway cannot be reached or rejects the bundle.
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

    /// Returns the address of the first gateway.
    pub fn address(&self) -> net::SocketAddr {
        self.gateways[0].address
    }

    /// Returns the command-line profile for the first gateway with an API key.
    pub fn profile(&self, key: &str) -> cli::GatewayProfile {
        cli::GatewayProfile {
            url: format!("http://{}", self.address()),
            key: key.to_owned(),
            operator: "dev".into(),
            output: cli::output::OutputForm::Table,
        }
    }

    /// Stops the gateways, then the dispatchers, then the stand-ins.
    ///
    /// # Errors
    /// Returns an error if a daemon or server does not stop cleanly.
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
