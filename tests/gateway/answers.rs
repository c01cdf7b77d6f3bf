//! Answers of requests that pass through all stages.

use {
    crate::{
        fakes::{Fake, done, end, lines, token},
        support::{Host, TEAM_KEY, parse},
    },
    persimmoncleat::state::pool::Kind,
};

const BODY: &str = r#"{"prompt": "tides of May"}"#;

#[test]
fn buffered_answer_passes_through_all_stages() {
    let encoder = Fake::start(|_, call| done(call, "encoded"));
    let engine = Fake::start(|_, call| done(call, "drafted"));
    let host = Host::start(&[
        ("encode", Kind::Pool, &[encoder.address]),
        ("generate", Kind::Engine, &[engine.address]),
    ]);

    let (status, text) = host.post("", &[], BODY);
    let answer = parse(&text);

    assert_eq!(status, 200, "{text}");
    assert_eq!(answer["output"], "drafted");
    assert_eq!(answer["complete"], true);
    assert_eq!(answer["stages"][0]["stage"], "encode");
    assert_eq!(answer["stages"][1]["stage"], "generate");
    let calls = engine.calls.lock().unwrap();
    assert_eq!(calls[0].input, Some("encoded".into()));
    assert_eq!(calls[0].attempt, format!("{}/2", calls[0].request));
}

#[test]
fn streamed_answer_ends_with_its_end_line() {
    let engine =
        Fake::start(|_, call| lines(&[token(call, 0), token(call, 1), end(call, 2)], true));
    let host = Host::start(&[("generate", Kind::Engine, &[engine.address])]);

    let (status, text) = host.post("?stream=true", &[], BODY);
    let lines: Vec<_> = text.lines().map(parse).collect();

    assert_eq!(status, 200, "{text}");
    assert_eq!(lines.len(), 3, "{text}");
    assert_eq!(lines[0]["token"], "t0 ");
    assert_eq!(lines[1]["index"], 1);
    assert_eq!(lines[2]["tokens"], 2);
    assert_eq!(lines[2]["end"], true);
}

#[test]
fn recorded_answer_is_served_to_its_team_only() {
    let engine = Fake::start(|_, call| done(call, "drafted"));
    let host = Host::start(&[("generate", Kind::Engine, &[engine.address])]);

    let (_, text) = host.post("", &[], BODY);
    let path = format!("/v1/requests/{}", parse(&text)["request"].as_str().unwrap());

    assert_eq!(host.get(&path, TEAM_KEY), (200, text));
    assert_eq!(host.get(&path, "another team's key").0, 403);
    assert_eq!(engine.count(), 1);
}
