//! Measured residence times protect the choice from wrong load reports.

use bronzelock::decision::routing::{AttemptOutcome, Candidate, Router, RoutingPolicy};
use bronzelock::model::ids::Incarnation;
use bronzelock::model::load::{LoadReport, ServerState};
use bronzelock::model::names::{ServerName, ServiceName, ZoneName};

/// Residence time at the server with wrong reports and at one with accurate reports, in µs.
const MISREPORTING_US: u64 = 100_000;
const ACCURATE_US: u64 = 5_000;

#[test]
fn slow_server_that_reports_idle_gets_few_requests() {
    let zone = ZoneName::new("near").expect("valid name");
    let service = ServiceName::new("herd").expect("valid name");
    let servers = ["misreporting", "accurate-1", "accurate-2"]
        .map(|name| ServerName::new(name).expect("valid name"));
    let mut router = Router::new(zone.clone(), RoutingPolicy::TwoChoices);
    for server in &servers {
        let candidate = Candidate {
            server: server.clone(),
            zone: zone.clone(),
            service: service.clone(),
        };
        router.upsert(candidate, 0);
    }
    let mut returns: Vec<(u64, usize)> = Vec::new();
    let mut sent = [0_u64; 3];
    for step in 0..4_000_u64 {
        let now_us = step * 1_000;
        for (index, server) in servers.iter().enumerate() {
            let (in_flight, run_us) = if index == 0 {
                (0, 1_000)
            } else {
                (6, ACCURATE_US)
            };
            router.observe(server, report(step, in_flight, run_us), now_us);
        }
        let due: Vec<_> = returns.extract_if(.., |(at, _)| *at <= now_us).collect();
        for (_, index) in due {
            router.record_outcome(&servers[index], AttemptOutcome::Answered, now_us);
        }
        let chosen = router
            .choose(&service, &[], now_us, step)
            .expect("one is chosen");
        let index = servers
            .iter()
            .position(|s| *s == chosen)
            .expect("known server");
        router.record_sent(&chosen, now_us);
        sent[index] += 1;
        let spent_us = if index == 0 {
            MISREPORTING_US
        } else {
            ACCURATE_US
        };
        returns.push((now_us + spent_us, index));
    }
    assert!(
        sent[0] < 400,
        "{sent:?}: the misreporting server got a tenth or more"
    );
    assert!(
        sent[0] > 0,
        "{sent:?}: the misreporting server got no request"
    );
}

fn report(sequence: u64, in_flight: u32, service_time_us: u64) -> LoadReport {
    LoadReport {
        incarnation: Incarnation(1),
        sequence: sequence + 1,
        in_flight,
        queued: 0,
        limit: 12,
        service_time_us,
        state: ServerState::Warm,
    }
}
