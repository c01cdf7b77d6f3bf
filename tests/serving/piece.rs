//! An outcome is used only if it has what its job asked for: another request's
//! outputs must not reach an engine.

use {
    crate::batch::job,
    persimmoncleat::state::serving::piece::{Failure, Mismatch, Outcome, Output},
    std::time::Duration,
};

fn outcome(failure: Option<Failure>, outputs: &[(u16, &str)]) -> Outcome {
    let outputs = outputs.iter().map(|&(piece, handle)| Output {
        endpoint: "e".into(),
        handle: handle.into(),
        piece,
    });

    Outcome {
        backlog: Duration::ZERO,
        failure,
        outputs: outputs.collect(),
        retry_after: Duration::ZERO,
    }
}

macro_rules! outcomes {
    ($($name:ident: $failure:expr, $outputs:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let outcome = outcome($failure, &$outputs);
                assert_eq!(job(1, 2).check(&outcome), $expected);
            }
        )*
    };
}

outcomes! {
    output_for_each_piece_fits: None, [(0, "a"), (1, "b")] => Ok(());
    failure_needs_no_outputs: Some(Failure::Late), [] => Ok(());
    missing_output_is_a_mismatch: None, [(0, "a")]
        => Err(Mismatch::Count { outputs: 1, pieces: 2 });
    surplus_output_is_a_mismatch: None, [(0, "a"), (1, "b"), (2, "c")]
        => Err(Mismatch::Count { outputs: 3, pieces: 2 });
    output_of_another_piece_is_a_mismatch: None, [(0, "a"), (2, "c")]
        => Err(Mismatch::Piece { expected: 1, piece: 2 });
    output_given_twice_is_a_mismatch: None, [(0, "a"), (1, "a")]
        => Err(Mismatch::Repeated { piece: 1 });
}
