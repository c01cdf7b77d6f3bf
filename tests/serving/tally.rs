//! The metrics page must show counters and histograms with their labels, and
//! bound the number of series.

use {persimmoncleat::transport::tally::Tally, std::time::Duration};

#[test]
fn page_shows_counters_and_histograms() {
    let tally = Tally::default();
    tally.count("requests", &[("outcome", "answered")]);
    tally.count("requests", &[("outcome", "answered")]);
    tally.time("answer_ms", Duration::from_millis(20), &[("team", "t")]);
    insta::assert_snapshot!(tally.render(), @r"
    persimmoncleat.requests{outcome:answered} 2
    persimmoncleat.answer_ms{team:t} count=1
    persimmoncleat.answer_ms{team:t} p50=20
    persimmoncleat.answer_ms{team:t} p90=20
    persimmoncleat.answer_ms{team:t} p99=20
    persimmoncleat.answer_ms{team:t} p100=20
    persimmoncleat.series_dropped 0
    ");
}

#[test]
fn number_of_series_is_bounded() {
    let tally = Tally::default();

    for index in 0..5000 {
        tally.count("requests", &[("route", &index.to_string())]);
    }

    assert!(tally.render().ends_with("series_dropped 904\n"));
}
