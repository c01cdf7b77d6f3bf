//! The stages of the drafts in a run, and the inputs that the pages of the platform
//! promise to each of them. Independent of the product's own graph.

use {
    rand::{Rng, rngs::StdRng},
    serde_json::{Value, json},
    std::collections::BTreeSet,
};

/// The stages that each stage needs, for each graph: a chain, a triangle in which the
/// last stage also needs the first one, the same in reverse order, and two branches.
const GRAPHS: [&[&[usize]]; 4] = [
    &[&[], &[0]],
    &[&[], &[0], &[0, 1]],
    &[&[1, 2], &[2], &[]],
    &[&[], &[], &[0, 1]],
];

/// Sizes of an output in bytes: one that a stage makes at once, and one for which it
/// starts as late as possible.
const OUTPUT_BYTES: [u64; 2] = [8000, 600_000];

/// Maximum number of pieces of a stage.
const MAX_PIECES: usize = 3;

/// Fraction of the stages that a request omits, where it may.
const OMITTED_SHARE: f64 = 0.3;

/// The stages of all drafts of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Graph {
    after: &'static [&'static [usize]],
    output_bytes: u64,
}

impl Graph {
    /// Returns the graph of a run.
    pub fn of_seed(seed: u64) -> Self {
        let pick = |seed: u64, length: usize| seed as usize % length;

        Self {
            after: GRAPHS[pick(seed, GRAPHS.len())],
            output_bytes: OUTPUT_BYTES[pick(seed / GRAPHS.len() as u64, OUTPUT_BYTES.len())],
        }
    }

    /// Returns the stages as the configuration lists them.
    pub fn config(&self) -> Value {
        let stages = self
            .after
            .iter()
            .map(|after| json!({ "service": "stage", "after": after, "bytes": self.output_bytes }));
        stages.collect()
    }

    /// Returns the number of pieces of each stage for a request. Stages that need no
    /// other one are never omitted: their successors would have no inputs.
    pub fn draw_pieces(&self, random: &mut StdRng) -> Vec<usize> {
        let draw = |after: &&[usize]| {
            if !after.is_empty() && random.random_bool(OMITTED_SHARE) {
                0
            } else {
                random.random_range(1..=MAX_PIECES)
            }
        };
        self.after.iter().map(draw).collect()
    }

    /// Returns the pieces whose outputs a piece of a stage gets, as `stage.piece`.
    pub fn inputs(&self, stage: usize, pieces: &[usize]) -> BTreeSet<String> {
        names(&self.stages_before(stage, pieces), pieces)
    }

    /// Returns the pieces whose outputs the request itself gets: those of the stages
    /// that no other one gets.
    pub fn last(&self, pieces: &[usize]) -> BTreeSet<String> {
        let made = || (0..self.after.len()).filter(|&stage| pieces[stage] > 0);
        let used = made().flat_map(|stage| self.stages_before(stage, pieces));
        let used = used.collect::<BTreeSet<usize>>();
        let last = made().filter(|stage| !used.contains(stage));
        names(&last.collect(), pieces)
    }

    /// Returns the stages with pieces that a stage needs, through omitted ones too.
    fn stages_before(&self, stage: usize, pieces: &[usize]) -> BTreeSet<usize> {
        let before = self.after.get(stage).copied().unwrap_or_default().iter();
        before
            .flat_map(|&before| {
                if pieces[before] > 0 {
                    BTreeSet::from([before])
                } else {
                    self.stages_before(before, pieces)
                }
            })
            .collect()
    }
}

fn names(stages: &BTreeSet<usize>, pieces: &[usize]) -> BTreeSet<String> {
    let pieces = stages
        .iter()
        .flat_map(|&stage| (0..pieces[stage]).map(move |piece| format!("{stage}.{piece}")));
    pieces.collect()
}
