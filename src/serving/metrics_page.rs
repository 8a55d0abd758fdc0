//! Serves the metrics page and the readiness check.

use std::{convert, io, net, rc};

use actix_http::StatusCode;
use actix_service::{Service as _, ServiceFactory as _};

use super::{context, listener};
use crate::http_server;

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

fn serve(
    context: &rc::Rc<context::ProcessContext>,
    address: net::SocketAddr,
    respond: PageResponder,
) -> io::Result<()> {
    let listener = listener::bind(address)?;
    let context = context.clone();
    actix_rt::spawn(async move {
        let service = actix_http::HttpService::build()
            .keep_alive(actix_http::KeepAlive::Disabled)
            .finish(move |request: actix_http::Request| {
                let response = respond(&context, &request);
                async move { Ok::<_, convert::Infallible>(response) }
            })
            .tcp();
        let service = match service.new_service(()).await {
            Ok(service) => rc::Rc::new(service),
            Err(()) => return log::error!("event=page_not_served address={address}"),
        };
        loop {
            let Some(socket) = listener::accept(&listener).await else {
                continue;
            };
            let service = service.clone();
            actix_rt::spawn(async move {
                if let Err(e) = service.call(socket).await {
                    log::debug!("event=page_connection why=\"{e}\"");
                }
            });
        }
    });
    Ok(())
}
