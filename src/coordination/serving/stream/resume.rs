//! Continues an interrupted stream at another endpoint.

use {
    super::{
        report_failure,
        start::{Stream, continue_response},
    },
    crate::{
        coordination::serving::{
            answer::Reason,
            attempt::{AttemptOptions, AttemptOutcome, attempt, log_failure},
            balancing::Chosen,
            host::Host,
            relay::{RetryState, acquire_retry},
            request::Request,
            stages::StageOutputs,
        },
        protocol::event_stream::Splitter,
        state::serving::config::RetryMode,
    },
    std::rc::Rc,
};

/// Continues a stream after its last event at another endpoint, if the route
/// and the retry budget allow that.
pub(super) async fn resume(
    host: &Rc<Host>,
    request: &Request,
    retry_state: &mut RetryState,
    stage_outputs: &mut StageOutputs,
    last_event: Option<String>,
    mut splitter: Splitter,
) -> Option<Stream> {
    splitter.discard_partial();

    if request.route.retry_mode != RetryMode::Resume || last_event.is_none() {
        return None;
    }

    while acquire_retry(host, request) {
        if let Err(refusal) = stage_outputs.renew(host, request).await {
            log_not_resumed(request, refusal.reason());
            return None;
        }

        let domain = stage_outputs.domain();
        let Chosen { entry, guard } = match retry_state.choose_engine(host, request, domain).await {
            Ok(chosen) => chosen,
            Err(reason) => {
                log_not_resumed(request, reason);
                return None;
            }
        };
        let options = AttemptOptions {
            inputs: &stage_outputs.handles,
            last_event: last_event.as_deref(),
        };
        let outcome = match attempt(host, request, &entry, options).await {
            AttemptOutcome::Answered(open) => {
                match continue_response(host, request, *open, splitter.clone()).await {
                    Ok(mut stream) => {
                        stream.start(guard);
                        return Some(stream);
                    }
                    Err(outcome) => {
                        log_failure(request, &entry, &outcome);
                        outcome
                    }
                }
            }
            outcome => outcome,
        };

        report_failure(guard, &entry, &outcome);
        retry_state.excluded.push(entry.endpoint.clone());
        stage_outputs.release();
    }

    None
}

fn log_not_resumed(request: &Request, reason: Reason) {
    log::info!(
        request = request.id(),
        reason = reason.name();
        "stream not resumed"
    );
}
