//! Starts posted requests and joins repeated posts to their records.

use {
    crate::{
        coordination::{
            claim::{Claim, Permitted},
            gateway::Gateway,
            posted_request::PostedRequest,
            record::Record,
            records::OpenOutcome,
            run::Job,
            runner,
        },
        state::{
            claims::refusal::{Reason, Refusal},
            id,
            pipeline::Stage,
            request::{Request, prefix_hash},
        },
        transport::boot_clock,
    },
    std::sync::Arc,
};

/// Returns the record that a repeated post joins, and counts the post.
///
/// # Errors
///
/// Returns a refusal if the same key or ticket came with another body or a
/// table is at its limit.
pub fn existing_record(gateway: &Gateway, opened: OpenOutcome) -> Result<Arc<Record>, Refusal> {
    match opened {
        OpenOutcome::Conflict => {
            gateway.observer.count("conflicts");
            Err(Refusal::unknown(
                Reason::Conflict,
                "the same key or ticket came with another body",
            ))
        }
        OpenOutcome::Full(limit) => Err(limit_refusal(gateway, limit)),
        OpenOutcome::Known(record) | OpenOutcome::New(record) => {
            gateway.observer.count("joined");
            Ok(record)
        }
    }
}

/// Returns the refusal for a table at its limit, and counts it.
pub fn limit_refusal(gateway: &Gateway, limit: &'static str) -> Refusal {
    gateway.observer.count(match limit {
        "requests" => "refused_requests",
        _ => "refused_records",
    });
    Refusal::not_run(Reason::Limit, format!("{limit} are at their limit"))
}

/// Starts to run the request of an open record.
pub fn start(
    gateway: &Arc<Gateway>,
    posted: &PostedRequest,
    claim: Option<Claim<Permitted>>,
    record: &Arc<Record>,
    stages: Vec<Stage>,
) {
    let job = Job {
        body: posted.body.clone(),
        claim,
        record: Arc::clone(record),
        request: Request {
            arrived: boot_clock::now(),
            class: posted.class.clone(),
            deadline: record.info.deadline,
            max_tokens: posted.body.max_tokens,
            pipeline: posted.pipeline.clone(),
            prefix: posted.body.prefix.as_deref().map(prefix_hash),
            repeatable: posted.repeatable,
            request: record.info.request.clone(),
            stages,
            team: posted.team.clone(),
        },
        stream: posted.stream,
    };
    runner::start(gateway, job);
}

/// Returns the stages of the request's pipeline.
///
/// # Errors
///
/// Returns a refusal if the settings do not have the pipeline or it has no
/// stages.
pub fn stages(gateway: &Gateway, posted: &PostedRequest) -> Result<Vec<Stage>, Refusal> {
    let policy = &gateway.published.get().policy;

    match policy.pipelines.get(&posted.pipeline) {
        Some(pipeline) if !pipeline.stages.is_empty() => Ok(pipeline.stages.clone()),
        _ => Err(unknown_pipeline(&posted.pipeline)),
    }
}

/// Returns the refusal for a pipeline that the settings do not have.
pub fn unknown_pipeline(pipeline: &id::Pipeline) -> Refusal {
    Refusal::not_run(
        Reason::Missing,
        format!("pipeline {pipeline} is not in the settings"),
    )
}
