//! Serves the metrics page and the readiness check.

use std::{io, net, rc, time};

use actix_http::StatusCode;
use futures::future;

use super::{context, listener};
use crate::{
    callers::{self, connection, memory, table},
    http_server,
};

/// Serves metrics and readiness at the addresses that the options set.
///
/// # Errors
/// Returns an error if an address cannot be bound.
pub fn start(context: &rc::Rc<context::ProcessContext>) -> io::Result<()> {
    if let Some(address) = context.options.readiness {
        serve(context, address, |context, _| match context.is_ready() {
            true => http_server::plain(StatusCode::OK, "ready\n"),
            false => http_server::plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        })?;
    }
    if let Some(address) = context.options.metrics {
        serve(context, address, |context, _| {
            let version = context.fleet.table().version().0;
            let metrics = &context.metrics;
            metrics
                .state_version
                .set(version.try_into().unwrap_or(i64::MAX));
            let (online, batch) = context.permits.borrow().totals();
            for (class, held) in [("online", online), ("batch", batch)] {
                let gauge = metrics.held_slots.with_label_values(&[class]);
                gauge.set(held.into());
            }
            let suspects = context.permits.borrow().suspect_count(context.clock.now());
            metrics
                .suspect_endpoints
                .set(suspects.try_into().unwrap_or(i64::MAX));
            let waiting = context.limiter.waiting();
            metrics
                .token_waiting
                .set(waiting.try_into().unwrap_or(i64::MAX));
            let ratios = context.permits.borrow().speed_ratios(context.clock.now());
            metrics.endpoint_speed.reset();
            for (service, slowest, fastest) in ratios {
                for (bound, speed) in [("min", slowest), ("max", fastest)] {
                    let labels = [service.as_str(), bound];
                    metrics.endpoint_speed.with_label_values(&labels).set(speed);
                }
            }
            metrics.hold_seconds.reset();
            for report in context.permits.borrow().free_slots(context.clock.now()) {
                if let Some(ms) = report.hold_ms {
                    let gauge = metrics
                        .hold_seconds
                        .with_label_values(&[report.service.as_str()]);
                    gauge.set(f64::from(ms.get()) / 1000.0);
                }
            }
            let queued = context.slot_queues.borrow().len();
            metrics
                .slot_queue_length
                .set(queued.try_into().unwrap_or(i64::MAX));
            let unreadable = context.fleet.unreadable();
            metrics
                .unreadable_objects
                .set(unreadable.try_into().unwrap_or(i64::MAX));
            let evacuated = context.fleet.evacuations().domains.len();
            metrics
                .evacuated_domains
                .set(evacuated.try_into().unwrap_or(i64::MAX));
            http_server::plain(StatusCode::OK, metrics.render())
        })?;
    }
    Ok(())
}

type PageResponder =
    fn(&context::ProcessContext, &actix_http::Request) -> http_server::HttpResponse;

/// Limits of the pages: their clients send one small request and read a response of some 10 KB.
const MAX_CONNECTIONS: usize = 32;
const MAX_HEAD_BYTES: usize = 8 << 10;
const PAGE_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Size of the kernel's buffers of a connection, in bytes.
const SOCKET_BYTES: usize = 16 << 10;

/// Handler of the requests for one page.
struct PageHandler {
    context: rc::Rc<context::ProcessContext>,
    respond: PageResponder,
}

impl http_server::RequestHandler for PageHandler {
    fn handle(
        &self,
        request: actix_http::Request,
    ) -> future::LocalBoxFuture<'static, http_server::HttpResponse> {
        let response = (self.respond)(&self.context, &request);
        Box::pin(future::ready(response))
    }
}

fn serve(
    context: &rc::Rc<context::ProcessContext>,
    address: net::SocketAddr,
    respond: PageResponder,
) -> io::Result<()> {
    let listener = listener::bind(address)?;
    callers::limit_buffers(&listener, SOCKET_BYTES);
    let options = connection::ConnectionOptions {
        idle_timeout: PAGE_TIMEOUT,
        head_timeout: PAGE_TIMEOUT,
        stall_timeout: PAGE_TIMEOUT,
        max_head_bytes: rc::Rc::new(|| MAX_HEAD_BYTES),
        is_single: true,
    };
    let closed = context.metrics.closed_connections.clone();
    let table = table::ConnectionTable::new(MAX_CONNECTIONS, Some(closed));
    let memory = memory::CallerMemory::new(memory::SharedBudget::unlimited(), table.clone());
    let handler = rc::Rc::new(PageHandler {
        context: context.clone(),
        respond,
    });
    let server = rc::Rc::new(connection::ConnectionServer::new(handler, options, memory));
    actix_rt::spawn(async move {
        loop {
            let Some(socket) = listener::accept(&listener).await else {
                continue;
            };
            // A probe that comes must not wait for those that send nothing.
            let open = table.open_always();
            let server = server.clone();
            actix_rt::spawn(async move { server.serve(socket, &open).await });
        }
    });
    Ok(())
}
