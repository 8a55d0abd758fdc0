//! Status page of a dispatcher: `/metrics`, `/healthz` and `/readyz`.

use std::{io, net, rc, sync};

use actix_http::StatusCode;
use futures::{future, FutureExt as _};

use crate::{fleet, http_server, metrics};

struct StatusPage {
    fleet: fleet::FleetHandle,
    metrics: sync::Arc<metrics::MetricSet>,
}

impl http_server::RequestHandler for StatusPage {
    fn handle(
        &self,
        request: actix_http::Request,
    ) -> future::LocalBoxFuture<'static, http_server::HttpResponse> {
        let response = match request.path() {
            "/healthz" => http_server::plain(StatusCode::OK, "ok"),
            "/readyz" if self.fleet.snapshot().synced => {
                http_server::plain(StatusCode::OK, "ready")
            }
            "/readyz" => http_server::plain(StatusCode::SERVICE_UNAVAILABLE, "no bundle yet"),
            "/metrics" => http_server::plain(StatusCode::OK, self.metrics.render()),
            _ => http_server::plain(StatusCode::NOT_FOUND, "no such path"),
        };
        future::ready(response).boxed_local()
    }
}

/// Starts the server of the status page.
///
/// # Errors
/// The address cannot be bound.
pub fn start(
    listen: net::SocketAddr,
    fleet: fleet::FleetHandle,
    metrics: sync::Arc<metrics::MetricSet>,
) -> io::Result<http_server::ServerGuard> {
    let options = http_server::ServerOptions::named("status");
    let factory: http_server::HandlerFactory = sync::Arc::new(move || {
        rc::Rc::new(StatusPage {
            fleet: fleet.clone(),
            metrics: metrics.clone(),
        })
    });
    http_server::start(&listen.to_string(), options, factory)
}
