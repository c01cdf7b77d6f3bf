//! The team of a job on the links between hosts.

use {
    crate::batch,
    persimmoncleat::{
        state::serving::piece::Job,
        transport::{peer_capnp::job, wire},
    },
};

/// Guards against dispatchers that cannot tell teams apart, and against a team named
/// by an empty text for requests without one, as hosts of earlier versions send them.
#[test]
fn team_of_a_job_is_kept() {
    for team in [None, Some("t".into())] {
        let job = Job {
            team,
            ..batch::job(1, 2)
        };
        let mut message = capnp::message::Builder::new_default();
        wire::write_job(message.init_root::<job::Builder>(), &job);
        let reader = message.get_root_as_reader::<job::Reader>().unwrap();
        assert_eq!(wire::read_job(reader).unwrap(), job);
    }
}
