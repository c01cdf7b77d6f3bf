//! The stages of one request: which may start, and which outputs they take.

use crate::state::{
    id,
    serving::{config::Stage, piece::Output},
};

/// Size of an output from which on a stage starts as late as possible:
/// endpoints have room for a dozen of them.
const LARGE_OUTPUT_BYTES: u64 = 500_000;

#[derive(Clone, Debug)]
struct Node {
    after: Vec<usize>,
    /// Whether the outputs take much of an endpoint's room.
    large: bool,
    /// Outputs in the order of pieces; empty until the stage is done.
    outputs: Vec<Output>,
    pieces: usize,
    /// Whether the outputs were given up.
    released: bool,
    service: id::Pool,
    started: bool,
}

/// What a stage needs to start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Start {
    pub inputs: Vec<Output>,
    pub pieces: usize,
    pub service: id::Pool,
    pub stage: usize,
}

/// The stages of one request and their outputs.
#[derive(Clone, Debug)]
pub struct Graph(Vec<Node>);

impl Graph {
    /// Builds the graph of a request with `pieces` pieces a stage. A stage
    /// without pieces is left out: what comes after it takes the outputs of
    /// the stages before it.
    pub fn new(stages: &[Stage], pieces: &[usize]) -> Self {
        let nodes = stages.iter().enumerate().map(|(index, stage)| Node {
            after: stage.after.clone(),
            large: stage.output_bytes >= LARGE_OUTPUT_BYTES,
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
    /// stage with large outputs waits until the rest of the graph is no
    /// longer than what follows the stage itself.
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

    /// Takes the outputs of a stage.
    pub fn finish(&mut self, stage: usize, outputs: Vec<Output>) {
        if let Some(node) = self.0.get_mut(stage) {
            node.outputs = outputs;
        }
    }

    /// Forgets every output, because some of them are gone. The stages run
    /// again.
    pub fn restart(&mut self) {
        for node in &mut self.0 {
            node.outputs.clear();
            node.released = false;
            node.started = false;
        }
    }

    /// Returns the outputs that the request itself takes: those of the stages
    /// that no other one follows.
    pub fn outputs(&self) -> Vec<Output> {
        let is_last = |stage: usize| {
            let mut successors = Vec::new();
            self.successors(stage, &mut successors);
            successors.is_empty()
        };

        self.0
            .iter()
            .enumerate()
            .filter(|(stage, _)| is_last(*stage))
            .flat_map(|(_, node)| node.outputs.iter().cloned())
            .collect()
    }

    /// Takes the outputs that every stage after them has read.
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

    /// Takes every output that exists and was not taken.
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

    /// Returns the stages from this one to the end on the longest way, this
    /// one included, as services with their pieces.
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
            && !(node.large && self.remaining_depth() > self.longest_path(stage).len())
    }

    /// Returns the stages on the longest way that is still to go.
    fn remaining_depth(&self) -> usize {
        (0..self.0.len())
            .filter(|&stage| !self.is_stage_done(stage))
            .map(|stage| self.longest_path(stage).len())
            .max()
            .unwrap_or(0)
    }

    /// Returns whether stages follow this one and all of them are done. A
    /// stage without pieces in between passes the outputs on.
    fn is_consumed(&self, stage: usize) -> bool {
        let mut successors = Vec::new();
        self.successors(stage, &mut successors);
        !self.0[stage].outputs.is_empty()
            && !successors.is_empty()
            && successors.iter().all(|&next| self.is_stage_done(next))
    }

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
