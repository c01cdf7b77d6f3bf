//! A stage must not start before its inputs exist, and the engine must receive
//! the outputs of the final stages only.

use persimmoncleat::state::serving::{
    config::Stage,
    graph::{Fault, Graph, Start},
    piece::Output,
};

fn stage(service: &str, after: &[usize], output_bytes: u64) -> Stage {
    Stage {
        after: after.to_vec(),
        output_bytes,
        service: service.into(),
    }
}

fn output(stage: usize, piece: u16) -> Output {
    Output {
        endpoint: "e".into(),
        handle: format!("{stage}/{piece}"),
        piece,
    }
}

fn numbers(starts: &[Start]) -> Vec<usize> {
    starts.iter().map(|start| start.stage).collect()
}

fn finish(graph: &mut Graph, start: &Start) {
    let pieces = u16::try_from(start.pieces).unwrap();
    let outputs = (0..pieces).map(|piece| output(start.stage, piece));
    graph.finish(start.stage, outputs.collect());
}

/// Runs all stages and returns those that started together, in order.
fn order(stages: &[Stage], pieces: &[usize]) -> Vec<Vec<usize>> {
    let mut graph = Graph::new(stages, pieces).unwrap();
    let mut order = Vec::new();

    while !graph.is_done() {
        let starts = graph.start();
        assert!(
            !starts.is_empty(),
            "no stage can start, but the graph is not done"
        );
        order.push(numbers(&starts));
        starts.iter().for_each(|start| finish(&mut graph, start));
    }

    order
}

macro_rules! orders {
    ($($name:ident: $stages:expr, $pieces:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(order(&$stages, &$pieces), $expected);
            }
        )*
    };
}

orders! {
    chain_runs_in_order: [stage("a", &[], 1), stage("b", &[0], 1), stage("c", &[1], 1)], [1, 8, 16]
        => [[0], [1], [2]];
    stage_without_pieces_is_skipped: [stage("a", &[], 1), stage("b", &[0], 1)], [0, 2]
        => [[1]];
    parallel_stages_start_together: [stage("a", &[], 1), stage("b", &[], 1)], [2, 2]
        => [[0, 1]];
    stage_with_large_outputs_starts_with_the_last_stage_of_the_longer_branch:
        [stage("a", &[], 3_000_000), stage("a", &[], 1), stage("b", &[1], 1), stage("c", &[2], 1)],
        [2, 1, 8, 16]
        => vec![vec![1], vec![2], vec![0, 3]];
    single_stage_with_large_outputs_starts_at_once: [stage("a", &[], 3_000_000)], [3]
        => [[0]];
    stage_may_need_one_with_a_higher_number: [stage("a", &[1], 1), stage("b", &[], 1)], [1, 1]
        => [[1], [0]];
    stage_with_large_outputs_may_have_a_higher_number_than_its_successors:
        [stage("a", &[2], 1), stage("b", &[0], 1), stage("c", &[], 3_000_000)], [1, 1, 1]
        => [[2], [0], [1]];
    skipped_stage_may_have_a_higher_number_than_its_successor:
        [stage("a", &[2], 1), stage("b", &[], 1), stage("c", &[1], 1)], [1, 1, 0]
        => [[1], [0]];
}

macro_rules! faults {
    ($($name:ident: $stages:expr => $fault:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let stages = $stages;
                let graph = Graph::new(&stages, &vec![1; stages.len()]);
                assert_eq!(graph.unwrap_err(), $fault);
            }
        )*
    };
}

faults! {
    stage_that_needs_itself_is_a_fault: [stage("a", &[0], 1)]
        => Fault::Cycle { stage: 0 };
    stages_that_need_each_other_are_a_fault:
        [stage("a", &[], 1), stage("b", &[2], 1), stage("c", &[1], 1)]
        => Fault::Cycle { stage: 1 };
    missing_stage_is_a_fault: [stage("a", &[], 1), stage("b", &[0, 2], 1)]
        => Fault::UnknownStage { stage: 1, after: 2 };
}

/// The request consumes the outputs of the stages that no other stage needs, whatever
/// their numbers.
#[test]
fn last_stage_may_have_the_lowest_number() {
    let stages = [stage("a", &[1], 1), stage("b", &[], 1)];
    let mut graph = Graph::new(&stages, &[1, 1]).unwrap();

    while !graph.is_done() {
        let starts = graph.start();
        starts.iter().for_each(|start| finish(&mut graph, start));
    }

    assert_eq!(graph.outputs(), [output(0, 0)]);
    assert_eq!(graph.longest_path(1), [("b".into(), 1), ("a".into(), 1)]);
}

#[test]
fn only_outputs_of_final_stages_go_to_the_engine() {
    let stages = [stage("a", &[], 1), stage("b", &[0], 1), stage("c", &[], 1)];
    let mut graph = Graph::new(&stages, &[1, 2, 1]).unwrap();
    let first = graph.start();
    first.iter().for_each(|start| finish(&mut graph, start));
    let second = graph.start();
    assert_eq!(second[0].inputs, [output(0, 0)]);
    second.iter().for_each(|start| finish(&mut graph, start));
    assert_eq!(graph.outputs(), [output(1, 0), output(1, 1), output(2, 0)]);
}

#[test]
fn outputs_pass_through_a_stage_without_pieces() {
    let stages = [stage("a", &[], 1), stage("b", &[0], 1), stage("c", &[1], 1)];
    let mut graph = Graph::new(&stages, &[1, 0, 1]).unwrap();
    let first = graph.start();
    finish(&mut graph, &first[0]);
    assert_eq!(graph.start()[0].inputs, [output(0, 0)]);
}

macro_rules! inputs {
    ($($(#[$doc:meta])* $name:ident: $stages:expr, $pieces:expr => $inputs:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let mut graph = Graph::new(&$stages, &$pieces).unwrap();
                let mut last = Vec::new();

                while !graph.is_done() {
                    let starts = graph.start();
                    starts.iter().for_each(|start| finish(&mut graph, start));
                    last = starts;
                }

                assert_eq!(last.remove(0).inputs, $inputs);
            }
        )*
    };
}

inputs! {
    /// Guards against inputs given twice: the last stage needs the first one directly
    /// and through a stage without pieces.
    stage_that_is_also_reached_through_a_skipped_one_is_an_input_once:
        [stage("a", &[], 1), stage("b", &[0], 1), stage("c", &[0, 1], 1)], [2, 0, 2]
        => [output(0, 0), output(0, 1)];
    stage_reached_through_two_skipped_ones_is_an_input_once:
        [stage("a", &[], 1), stage("b", &[0], 1), stage("c", &[0], 1), stage("d", &[1, 2], 1)],
        [1, 0, 0, 1]
        => [output(0, 0)];
    stage_named_twice_is_an_input_once: [stage("a", &[], 1), stage("b", &[0, 0], 1)], [1, 1]
        => [output(0, 0)];
    inputs_keep_the_order_of_the_stages_that_are_needed:
        [stage("a", &[], 1), stage("b", &[], 1), stage("c", &[1, 0], 1)], [1, 1, 1]
        => [output(1, 0), output(0, 0)];
}

#[test]
fn consumed_outputs_are_taken_once() {
    let stages = [stage("a", &[], 1), stage("b", &[0], 1)];
    let mut graph = Graph::new(&stages, &[1, 1]).unwrap();
    let first = graph.start();
    finish(&mut graph, &first[0]);
    assert!(graph.take_consumed().is_empty());
    let second = graph.start();
    finish(&mut graph, &second[0]);
    assert_eq!(graph.take_consumed(), [("a".into(), vec![output(0, 0)])]);
    assert!(graph.take_consumed().is_empty());
    assert_eq!(graph.take_all(), [("b".into(), vec![output(1, 0)])]);
    assert!(graph.take_all().is_empty());
}

#[test]
fn restart_runs_every_stage_again() {
    let stages = [stage("a", &[], 1), stage("b", &[0], 1)];
    let mut graph = Graph::new(&stages, &[1, 1]).unwrap();
    let first = graph.start();
    finish(&mut graph, &first[0]);
    graph.start();
    graph.restart();
    assert_eq!(numbers(&graph.start()), [0]);
}
