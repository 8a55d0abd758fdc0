//! `jayhollow dev`: everything in one process, on embedded stand-ins.

use std::{fs, io, net, path, time};

use crate::{
    bundle, cli, daemon, decisions::call_budget, dispatcher, gateway, http_server, ids, link,
    log_setup, platform, settings, smoke, standin,
};

/// API key of the workspace that `jayhollow dev` makes.
pub const DEV_KEY: &str = "dev-key";
/// Operator's key that `jayhollow dev` makes.
pub const DEV_OPERATOR_KEY: &str = "dev-operator-key";
/// Name of the model that `jayhollow dev` serves.
pub const DEV_MODEL: &str = "demo-model";
/// Name of the plain service that `jayhollow dev` serves.
pub const DEV_SERVICE: &str = "demo-service";
/// Engines that `jayhollow dev` starts.
const DEV_ENGINES: usize = 3;
/// Longest wait until everything is ready.
const READY_PATIENCE: time::Duration = time::Duration::from_secs(20);
/// Port that the kernel chooses, on loopback.
const ANY_PORT: &str = "127.0.0.1:0";

/// A small fleet in one process.
pub struct DevFleet {
    /// Where callers reach the gateway.
    pub address: net::SocketAddr,
    /// Where the object service listens.
    pub objects: net::SocketAddr,
    gateway: gateway::GatewayDaemon,
    dispatcher: dispatcher::DispatcherDaemon,
    standins: Vec<http_server::ServerGuard>,
}

fn endpoint(
    id: String,
    service: &str,
    kind: platform::EndpointKind,
    address: net::SocketAddr,
) -> platform::EndpointRecord {
    platform::EndpointRecord {
        id: ids::EndpointId::try_from(id).expect("the name is valid"),
        service: service.parse().expect("the name is valid"),
        kind,
        address,
        domain: dev_domain(),
        state: platform::EndpointState::Live,
    }
}

fn dev_domain() -> ids::DomainName {
    "dev-domain".parse().expect("the name is valid")
}

fn any_port() -> net::SocketAddr {
    ANY_PORT.parse().expect("the address is valid")
}

/// Quick paces, as everything is on one machine.
fn dev_pace() -> settings::common::PaceSettings {
    settings::common::PaceSettings {
        heartbeat_ms: 1_000,
        watch_pace_ms: 50,
        endpoints_poll_ms: 200,
        ..settings::common::PaceSettings::default()
    }
}

/// The bundle of `jayhollow dev`.
pub fn dev_bundle() -> bundle::BundleDocument {
    bundle::BundleDocument {
        models: vec![bundle::ModelSpec {
            name: DEV_MODEL.parse().expect("the name is valid"),
            version: "1".into(),
            adapters: Vec::new(),
        }],
        services: vec![bundle::ServiceSpec {
            name: DEV_SERVICE.parse().expect("the name is valid"),
            repeatable: true,
            batch_concurrency: 8,
        }],
        workspaces: vec![bundle::WorkspaceSpec {
            id: "dev".parse().expect("the name is valid"),
            key_hashes: vec![bundle::hash_key(DEV_KEY)],
            max_concurrency: 1024,
            max_requests_per_second: 10_000,
        }],
        batch: bundle::BatchSpec {
            online_slowdown_percent: 50,
            ..bundle::BatchSpec::default()
        },
    }
}

impl DevFleet {
    /// Starts stand-ins, dispatcher and gateway, and puts the first bundle in force.
    ///
    /// # Errors
    /// An address cannot be bound, a thread cannot be started, or the fleet is not ready in time.
    pub fn start(listen: net::SocketAddr, data: Option<&path::Path>) -> io::Result<Self> {
        let mut standins = Vec::new();
        let mut endpoints = Vec::new();
        for number in 1..=DEV_ENGINES {
            let engine =
                standin::engine::start(ANY_PORT, standin::engine::EngineOptions::default())?;
            let name = format!("engine-{number}");
            let kind = platform::EndpointKind::Engine;
            endpoints.push(endpoint(name, DEV_MODEL, kind, engine.address));
            standins.push(engine);
        }
        let plain = standin::plain_service::start(ANY_PORT)?;
        let kind = platform::EndpointKind::Plain;
        endpoints.push(endpoint("plain-1".into(), DEV_SERVICE, kind, plain.address));
        standins.push(plain);
        let file = match data {
            None => None,
            Some(folder) => {
                fs::create_dir_all(folder)?;
                Some(folder.join("objects.json"))
            }
        };
        let objects = standin::objects::start(ANY_PORT, endpoints, file)?;
        let objects_address = objects.address;
        standins.push(objects);
        let secret = link::LinkSecret::new(ids::unique("secret").into_bytes());
        let dispatcher =
            dispatcher::start(dispatcher_settings(objects_address), secret.clone(), None)?;
        let gateway = gateway::start(gateway_settings(listen, objects_address), secret)?;
        let fleet = Self {
            address: gateway.address,
            objects: objects_address,
            gateway,
            dispatcher,
            standins,
        };
        fleet.make_ready()?;
        Ok(fleet)
    }

    /// Puts the first bundle in force and waits until both daemons have it.
    fn make_ready(&self) -> io::Result<()> {
        actix_rt::System::new().block_on(async {
            let view = &self.gateway.context.fleet;
            view.wait_synced(READY_PATIENCE).await;
            if view.snapshot().bundle.generation == bundle::BundleGeneration(0) {
                self.submit_bundle().await?;
            }
            let deadline = time::Instant::now() + READY_PATIENCE;
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
        let ready = |view: &crate::fleet::FleetView| {
            let snapshot = view.snapshot();
            snapshot.bundle.generation > bundle::BundleGeneration(0)
                && !snapshot.endpoints.is_empty()
                && !snapshot.dispatchers.is_empty()
        };
        ready(&self.gateway.context.fleet) && ready(&self.dispatcher.context.fleet)
    }

    async fn submit_bundle(&self) -> io::Result<()> {
        let client = cli::client::ApiClient::new(&self.reach(DEV_OPERATOR_KEY));
        let document = serde_json::to_vec(&dev_bundle()).map_err(io::Error::other)?;
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

    /// How the command line reaches this fleet with a key.
    pub fn reach(&self, key: &str) -> cli::GatewayReach {
        cli::GatewayReach {
            url: format!("http://{}", self.address),
            key: key.to_owned(),
            operator: "dev".into(),
            output: cli::output::OutputForm::Table,
        }
    }

    /// Stops everything, the gateway first.
    ///
    /// # Errors
    /// A server's thread ended with an error.
    pub fn stop(self) -> io::Result<()> {
        self.gateway.stop()?;
        self.dispatcher.stop()?;
        for standin in self.standins {
            standin.stop(false)?;
        }
        Ok(())
    }
}

fn instance(id: &str) -> settings::common::InstanceSettings {
    settings::common::InstanceSettings {
        id: id.parse().expect("the name is valid"),
        domain: dev_domain(),
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

fn dispatcher_settings(objects: net::SocketAddr) -> settings::dispatcher::DispatcherSettings {
    settings::dispatcher::DispatcherSettings {
        instance: instance("dispatcher-1"),
        store: store(objects),
        link: link_settings(),
        pace: dev_pace(),
        batch: settings::dispatcher::BatchSettings::default(),
        metrics_listen: Some(any_port()),
    }
}

fn gateway_settings(
    listen: net::SocketAddr,
    objects: net::SocketAddr,
) -> settings::gateway::GatewaySettings {
    settings::gateway::GatewaySettings {
        instance: instance("gateway-1"),
        store: store(objects),
        link: link_settings(),
        callers: settings::gateway::CallerSettings {
            listen,
            workers: 2,
            tls: None,
            limits: settings::gateway::InputLimits::default(),
            stop_timeout_ms: 60_000,
        },
        pace: dev_pace(),
        online: settings::gateway::OnlineSettings::default(),
        operator_key_hashes: vec![bundle::hash_key(DEV_OPERATOR_KEY)],
    }
}

/// Runs `jayhollow dev`.
///
/// # Errors
/// The fleet cannot be started, or a call of the smoke run went wrong.
pub fn run(flags: &cli::DevFlags) -> cli::CommandResult<()> {
    log_setup::start(flags.log_level);
    let signals = daemon::StopSignals::listen().map_err(cli::CommandError::failed)?;
    let listen = if flags.smoke {
        any_port()
    } else {
        flags.listen
    };
    let fleet =
        DevFleet::start(listen, flags.data.as_deref()).map_err(cli::CommandError::failed)?;
    let outcome = if flags.smoke {
        smoke::run(&fleet)
    } else {
        print_welcome(&fleet);
        signals.wait(None);
        Ok(())
    };
    fleet.stop().map_err(cli::CommandError::failed)?;
    outcome
}

fn print_welcome(fleet: &DevFleet) {
    let url = format!("http://{}", fleet.address);
    println!("jayhollow is ready");
    println!("  callers    {url}   API key {DEV_KEY}");
    println!("  operators  {url}   key {DEV_OPERATOR_KEY}");
    println!("  metrics    {url}/metrics");
    if let Some(metrics) = fleet.dispatcher.metrics_address {
        println!("  batch      http://{metrics}/metrics");
    }
    println!("try:");
    println!(
        "  curl -N {url}/v1/chat/completions -H 'authorization: Bearer {DEV_KEY}' \
         -H 'content-type: application/json' -d '{{\"model\":\"{DEV_MODEL}\",\"stream\":true,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"a cover note\"}}]}}'"
    );
    println!(
        "  curl {url}/services/{DEV_SERVICE}/check -H 'authorization: Bearer {DEV_KEY}' \
         -d 'Vitosha Blvd 1, Sofia'"
    );
    println!("  jayhollow --url {url} --key {DEV_KEY} job submit --wait examples/letters.jsonl");
}
