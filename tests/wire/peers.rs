//! Golden tests of the gRPC calls between controllers: encoded messages and paths.

use super::assert_golden;
use prost::Message;
use std::fmt::Debug;
use std::future::{ready, Ready};
use std::sync::{Arc, Mutex};
use tillercleat::protocol::peer::replica::State;
use tillercleat::protocol::peer::{peer_client::PeerClient, peer_server::SERVICE_NAME, *};
use tonic::body::Body;
use tonic::codegen::{http, Context, Poll, Service};

/// Encodes a message and checks that it decodes to an equal one.
fn encoded<M: Message + Default + PartialEq + Debug>(name: &str, message: &M) -> String {
    let bytes = message.encode_to_vec();
    assert_eq!(M::decode(bytes.as_slice()).expect("a message"), *message);
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("{name} {hex}")
}

fn replica(state: State) -> Replica {
    Replica {
        job: "wk-000412".into(),
        index: 3,
        attempt: 4,
        state: state.into(),
        addr: "10.1.0.2:9000".into(),
        zone: "a".into(),
        failed_attempt: 5,
        token: 6,
        age_ms: 700,
    }
}

#[test]
fn peer_messages_keep_their_wire_format() {
    let team = TeamDemand { team: "red".into(), unmet_cpus: 3.5, unmet_gpus: 2.0 };
    let load = ShardStatus {
        shard: 1,
        token: 41,
        teams: vec![team.clone()],
        terminating_machines: vec!["i-000001".into()],
        reporting_machines: vec!["i-000002".into(), "i-000003".into()],
        downlink_lost_machines: vec!["i-000004".into()],
    };
    let age = MachineAge { machine: "i-000009".into(), age_s: 12.5 };
    let status = PeerStatus {
        from: "n1".into(),
        revision: 300,
        state_reachable: true,
        shards: vec![load.clone(), ShardStatus::default()],
        machine_ages: vec![age.clone()],
        faulty_machines: vec!["i-000005".into()],
        failing_jobs: vec!["wk-000004".into()],
    };
    let states = [State::Waiting, State::Placed, State::Running, State::Leaving, State::Ended];
    let replicas = states.map(replica).to_vec();
    let lines = [
        encoded("note", &status),
        encoded("empty-note", &PeerStatus::default()),
        encoded("part-load", &load),
        encoded("team-use", &team),
        encoded("machine-age", &age),
        encoded("heard", &PeerStatusAck { revision: 300 }),
        encoded("replicas-ask", &ReplicasRequest { jobs: vec!["wk-000412".into(), "wk-000413".into()] }),
        encoded("replica", &replicas[4]),
        encoded("replicas-told", &ReplicasResponse { replicas }),
        encoded("reach-ask", &ReachRequest { addr: "10.1.0.2:9000".into() }),
        encoded("reach-told", &ReachResponse { reached: true }),
    ];
    assert_golden("peers.txt", &lines);
}

/// Records the method and path of each call and returns an empty response.
#[derive(Clone, Default)]
struct Recorder(Arc<Mutex<Vec<String>>>);

impl Service<http::Request<Body>> for Recorder {
    type Response = http::Response<Body>;
    type Error = std::convert::Infallible;
    type Future = Ready<Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: http::Request<Body>) -> Self::Future {
        self.0.lock().expect("a lock").push(format!("{} {}", request.method(), request.uri().path()));
        ready(Ok(http::Response::default()))
    }
}

#[test]
fn peer_calls_keep_their_paths() {
    let recorder = Recorder::default();
    let mut client = PeerClient::new(recorder.clone());
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(async {
        assert!(client.tell(PeerStatus::default()).await.is_err());
        assert!(client.replicas(ReplicasRequest::default()).await.is_err());
        assert!(client.reach(ReachRequest::default()).await.is_err());
    });
    let mut lines = recorder.0.lock().expect("a lock").clone();
    lines.push(SERVICE_NAME.to_string());
    assert_golden("peer-paths.txt", &lines);
}
