//! Parts that several tests share.

pub mod relay;
