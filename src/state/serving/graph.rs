//! The dependency graph of a request's stages: which stages may start and which
//! outputs they consume.

use crate::state::{
    id,
    serving::{config::Stage, piece::Output},
};

/// Size of an output from which a stage starts as late as possible, since an
/// endpoint can store only about a dozen of them.
const LARGE_OUTPUT_BYTES: u64 = 500_000;

/// One stage and its progress.
#[derive(Clone, Debug)]
struct Node {
    /// Stages whose outputs this one needs.
    after: Vec<usize>,
    /// Expected size of one output.
    output_bytes: u64,
    /// Outputs in the order of the pieces. Empty until the stage is done.
    outputs: Vec<Output>,
    /// Number of pieces.
    pieces: usize,
    /// Whether the outputs were handed out for release.
    released: bool,
    service: id::Pool,
    started: bool,
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
#[derive(Clone, Debug)]
pub struct Graph(Vec<Node>);

impl Graph {
    /// Creates the graph of a request, with the number of pieces of each stage.
    /// A stage without pieces is skipped: its successors consume the outputs of
    /// its predecessors.
    pub fn new(stages: &[Stage], pieces: &[usize]) -> Self {
        let nodes = stages.iter().enumerate().map(|(index, stage)| Node {
            after: stage.after.clone(),
            output_bytes: stage.output_bytes,
            outputs: Vec::new(),
            pieces: pieces.get(index).copied().unwrap_or(0),
            released: false,
            service: stage.service.clone(),
            started: false,
        });

        Self(nodes.collect())
    }

    /// Returns whether every stage is done.
    pub fn is_done(&self) -> bool {
        self.0.iter().all(|node| node.outputs.len() == node.pieces)
    }

    /// Returns the stages that can start now and marks them as started. A
    /// stage with large outputs waits until no unfinished path through the graph
    /// is longer than the one that starts with the stage itself.
    pub fn start(&mut self) -> Vec<Start> {
        let ready = (0..self.0.len())
            .filter(|&stage| self.can_start(stage))
            .collect::<Vec<usize>>();

        ready
            .into_iter()
            .map(|stage| {
                self.0[stage].started = true;
                let mut inputs = Vec::new();
                self.inputs(stage, &mut inputs);
                Start {
                    inputs,
                    pieces: self.0[stage].pieces,
                    service: self.0[stage].service.clone(),
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
        let is_last = move |stage: usize| {
            let mut successors = Vec::new();
            self.successors(stage, &mut successors);
            successors.is_empty()
        };

        self.0
            .iter()
            .enumerate()
            .filter(move |(stage, _)| is_last(*stage))
            .flat_map(|(_, node)| {
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
        let mut longest = Vec::new();

        for (next, node) in self.0.iter().enumerate() {
            if next > stage && node.after.contains(&stage) {
                let path = self.longest_path(next);

                if path.len() > longest.len() {
                    longest = path;
                }
            }
        }

        if let Some(node) = self.0.get(stage)
            && node.pieces > 0
        {
            longest.insert(0, (node.service.clone(), node.pieces));
        }

        longest
    }

    fn can_start(&self, stage: usize) -> bool {
        let node = &self.0[stage];
        node.pieces > 0
            && !node.started
            && node
                .after
                .iter()
                .all(|&predecessor| self.is_stage_done(predecessor))
            && !(node.output_bytes >= LARGE_OUTPUT_BYTES
                && self.remaining_depth() > self.longest_path(stage).len())
    }

    /// Returns the number of stages on the longest unfinished path.
    fn remaining_depth(&self) -> usize {
        (0..self.0.len())
            .filter(|&stage| !self.is_stage_done(stage))
            .map(|stage| self.longest_path(stage).len())
            .max()
            .unwrap_or(0)
    }

    /// Returns whether the stage has outputs and all of its successors, of which
    /// there must be one, are done. Stages without pieces are skipped.
    fn is_consumed(&self, stage: usize) -> bool {
        let mut successors = Vec::new();
        self.successors(stage, &mut successors);
        !self.0[stage].outputs.is_empty()
            && !successors.is_empty()
            && successors.iter().all(|&next| self.is_stage_done(next))
    }

    /// Adds the stages that consume the outputs of this one to `successors`,
    /// skipping stages without pieces.
    fn successors(&self, stage: usize, successors: &mut Vec<usize>) {
        for (next, node) in self.0.iter().enumerate() {
            if next > stage && node.after.contains(&stage) {
                if node.pieces > 0 {
                    successors.push(next);
                } else {
                    self.successors(next, successors);
                }
            }
        }
    }

    /// Returns whether a stage is done. A stage without pieces is done as soon
    /// as its predecessors are.
    fn is_stage_done(&self, stage: usize) -> bool {
        let Some(node) = self.0.get(stage) else {
            return true;
        };

        if node.pieces > 0 {
            node.outputs.len() == node.pieces
        } else {
            node.after
                .iter()
                .all(|&predecessor| self.is_stage_done(predecessor))
        }
    }

    /// Adds the outputs that a stage consumes to `inputs`.
    fn inputs(&self, stage: usize, inputs: &mut Vec<Output>) {
        for &predecessor in &self.0[stage].after {
            match self.0.get(predecessor) {
                Some(node) if node.pieces > 0 => inputs.extend(node.outputs.iter().cloned()),
                Some(_) => self.inputs(predecessor, inputs),
                None => {}
            }
        }
    }
}
