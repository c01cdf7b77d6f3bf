//! The dependency graph of a request's stages: which stages may start and which
//! outputs they consume.

use {
    crate::state::{
        id,
        serving::{config::Stage, piece::Output},
    },
    snafu::Snafu,
    std::collections::HashSet,
};

/// Size of an output from which a stage starts as late as possible, since an
/// endpoint can store only about a dozen of them.
const LARGE_OUTPUT_BYTES: u64 = 500_000;

/// Why the stages of a route cannot run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Snafu)]
pub enum Fault {
    #[snafu(display("stage {stage} needs its own outputs"))]
    Cycle { stage: usize },
    #[snafu(display("stage {stage} needs the outputs of stage {after}, which does not exist"))]
    UnknownStage { stage: usize, after: usize },
}

/// One stage and its progress.
#[derive(Clone, Debug)]
struct Node {
    /// Stages whose outputs this one consumes. Each has pieces and occurs once.
    inputs: Vec<usize>,
    /// Expected size of one output.
    output_bytes: u64,
    /// Outputs in the order of the pieces. Empty until the stage is done.
    outputs: Vec<Output>,
    /// The longest path from this stage to the end of the graph, starting with
    /// the stage itself. Stages without pieces are left out.
    path: Vec<usize>,
    /// Number of pieces.
    pieces: usize,
    /// Whether the outputs were handed out for release.
    released: bool,
    service: id::Pool,
    started: bool,
    /// Stages that consume the outputs of this one.
    successors: Vec<usize>,
}

impl Node {
    fn is_done(&self) -> bool {
        self.outputs.len() == self.pieces
    }
}

/// A stage that can start, with its inputs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Start {
    pub inputs: Vec<Output>,
    pub pieces: usize,
    pub service: id::Pool,
    pub stage: usize,
}

/// The stages of one request and their outputs, by index of the stage.
#[derive(Clone, Debug, Default)]
pub struct Graph(Vec<Node>);

impl Graph {
    /// Creates the graph of a request, with the number of pieces of each stage.
    /// A stage without pieces is skipped: its successors consume the outputs of
    /// its predecessors. Stages may be listed in any order.
    ///
    /// # Errors
    ///
    /// Returns the fault if a stage needs one that does not exist, or its own
    /// outputs.
    pub fn new(stages: &[Stage], pieces: &[usize]) -> Result<Self, Fault> {
        let order = topological_order(stages)?;
        let pieces = |stage: usize| pieces.get(stage).copied().unwrap_or(0);
        let inputs = inputs(stages, &order, pieces);
        let mut paths = paths(stages, &order, pieces);

        let nodes = stages.iter().enumerate().map(|(index, stage)| Node {
            inputs: inputs[index].clone(),
            output_bytes: stage.output_bytes,
            outputs: Vec::new(),
            path: std::mem::take(&mut paths[index]),
            pieces: pieces(index),
            released: false,
            service: stage.service.clone(),
            started: false,
            successors: (0..stages.len())
                .filter(|&next| pieces(next) > 0 && inputs[next].contains(&index))
                .collect(),
        });

        Ok(Self(nodes.collect()))
    }

    /// Returns whether every stage is done.
    pub fn is_done(&self) -> bool {
        self.0.iter().all(Node::is_done)
    }

    /// Returns the stages that can start now and marks them as started. A
    /// stage with large outputs waits until no unfinished path through the graph
    /// is longer than the one that starts with the stage itself.
    ///
    /// A graph that is not done always has a stage that can start or has started:
    /// the inputs of the first stage of the longest unfinished path are done.
    pub fn start(&mut self) -> Vec<Start> {
        let ready = (0..self.0.len())
            .filter(|&stage| self.can_start(stage))
            .collect::<Vec<usize>>();

        ready
            .into_iter()
            .map(|stage| {
                self.0[stage].started = true;
                let node = &self.0[stage];
                let inputs = node.inputs.iter().flat_map(|&input| &self.0[input].outputs);
                Start {
                    inputs: inputs.cloned().collect(),
                    pieces: node.pieces,
                    service: node.service.clone(),
                    stage,
                }
            })
            .collect()
    }

    /// Stores the outputs of a stage that has finished.
    pub fn finish(&mut self, stage: usize, outputs: Vec<Output>) {
        if let Some(node) = self.0.get_mut(stage) {
            node.outputs = outputs;
        }
    }

    /// Discards all outputs, because some of them no longer exist, so that
    /// every stage runs again.
    pub fn restart(&mut self) {
        for node in &mut self.0 {
            node.outputs.clear();
            node.released = false;
            node.started = false;
        }
    }

    /// Returns the outputs that the request itself consumes: those of the
    /// stages without successors.
    pub fn outputs(&self) -> Vec<Output> {
        let outputs = self.sized_outputs();
        outputs.map(|(output, _)| output.clone()).collect()
    }

    /// Returns the outputs that the request itself consumes, with their
    /// expected sizes in bytes.
    pub fn sized_outputs(&self) -> impl Iterator<Item = (&Output, u64)> {
        let last = self.0.iter().filter(|node| node.successors.is_empty());

        last.flat_map(|node| {
            let outputs = node.outputs.iter();
            outputs.map(|output| (output, node.output_bytes))
        })
    }

    /// Returns the outputs that all of their successors have consumed and marks
    /// them as released.
    pub fn take_consumed(&mut self) -> Vec<(id::Pool, Vec<Output>)> {
        let consumed = (0..self.0.len())
            .filter(|&stage| !self.0[stage].released && self.is_consumed(stage))
            .collect::<Vec<usize>>();

        consumed
            .into_iter()
            .map(|stage| {
                let node = &mut self.0[stage];
                node.released = true;
                (node.service.clone(), node.outputs.clone())
            })
            .collect()
    }

    /// Returns all outputs that are not released yet and marks them as released.
    pub fn take_all(&mut self) -> Vec<(id::Pool, Vec<Output>)> {
        self.0
            .iter_mut()
            .filter(|node| !node.outputs.is_empty() && !node.released)
            .map(|node| {
                node.released = true;
                (node.service.clone(), node.outputs.clone())
            })
            .collect()
    }

    /// Returns the longest path from this stage to the end of the graph, as the
    /// service and the number of pieces of each stage. Includes this stage;
    /// stages without pieces are left out.
    pub fn longest_path(&self, stage: usize) -> Vec<(id::Pool, usize)> {
        let path = self.0.get(stage).map_or(&[][..], |node| &node.path);
        let nodes = path.iter().map(|&stage| &self.0[stage]);
        nodes
            .map(|node| (node.service.clone(), node.pieces))
            .collect()
    }

    /// Returns the longest path through the graph; see [`Self::longest_path`].
    pub fn longest_whole_path(&self) -> Vec<(id::Pool, usize)> {
        let longest = (0..self.0.len()).rev();
        let longest = longest.max_by_key(|&stage| self.0[stage].path.len());
        longest.map_or_else(Vec::new, |stage| self.longest_path(stage))
    }

    fn can_start(&self, stage: usize) -> bool {
        let node = &self.0[stage];
        node.pieces > 0
            && !node.started
            && node.inputs.iter().all(|&input| self.0[input].is_done())
            && !(node.output_bytes >= LARGE_OUTPUT_BYTES
                && self.remaining_depth() > node.path.len())
    }

    /// Returns the number of stages on the longest unfinished path.
    fn remaining_depth(&self) -> usize {
        let unfinished = self.0.iter().filter(|node| !node.is_done());
        unfinished.map(|node| node.path.len()).max().unwrap_or(0)
    }

    /// Returns whether the stage has outputs and all of its successors, of which
    /// there must be one, are done.
    fn is_consumed(&self, stage: usize) -> bool {
        let node = &self.0[stage];
        !node.outputs.is_empty()
            && !node.successors.is_empty()
            && node.successors.iter().all(|&next| self.0[next].is_done())
    }
}

/// Returns the stages in an order in which each one comes after those that it
/// needs.
fn topological_order(stages: &[Stage]) -> Result<Vec<usize>, Fault> {
    for (stage, node) in stages.iter().enumerate() {
        if let Some(&after) = node.after.iter().find(|&&after| after >= stages.len()) {
            return UnknownStageSnafu { stage, after }.fail();
        }
    }

    let mut order = Vec::with_capacity(stages.len());
    let mut left = (0..stages.len()).collect::<Vec<usize>>();

    while let Some(&first) = left.first() {
        let is_free = |stage: &usize| {
            let mut after = stages[*stage].after.iter();
            after.all(|after| order.contains(after))
        };
        let free = left.iter().position(is_free);
        let free = free.ok_or(Fault::Cycle { stage: first })?;
        order.push(left.remove(free));
    }

    Ok(order)
}

/// Returns the stages with pieces whose outputs each stage consumes. One that is
/// reached directly and through a stage without pieces occurs once.
fn inputs(stages: &[Stage], order: &[usize], pieces: impl Fn(usize) -> usize) -> Vec<Vec<usize>> {
    let mut inputs = vec![Vec::new(); stages.len()];

    for &stage in order {
        let mut found = Vec::new();

        for &after in &stages[stage].after {
            let skipped = &inputs[after];
            let consumed = if pieces(after) > 0 {
                std::slice::from_ref(&after)
            } else {
                skipped.as_slice()
            };
            found.extend(consumed);
        }

        let mut seen = HashSet::new();
        found.retain(|input| seen.insert(*input));
        inputs[stage] = found;
    }

    inputs
}

/// Returns the longest path from each stage to the end of the graph, without the
/// stages that have no pieces.
fn paths(stages: &[Stage], order: &[usize], pieces: impl Fn(usize) -> usize) -> Vec<Vec<usize>> {
    let mut paths = vec![Vec::<usize>::new(); stages.len()];

    for &stage in order.iter().rev() {
        let mut path = Vec::new();

        if pieces(stage) > 0 {
            path.push(stage);
        }

        let next = (0..stages.len()).filter(|&next| stages[next].after.contains(&stage));
        // The first one of those that are equally long.
        let longest = next.rev().max_by_key(|&next| paths[next].len());
        path.extend(longest.iter().flat_map(|&next| paths[next].clone()));
        paths[stage] = path;
    }

    paths
}
