use super::*;
use ratatui::backend::TestBackend;
use ratatui::Terminal;
use serde_json::json;

#[test]
fn screen_shows_step_progress_and_failed_checks() {
    let body = json!({"service": "s", "state": "rolling",
        "rollout": {"from": "v1", "to": "v2", "step": 2, "steps": 3, "way": "baking", "bake_s": 6.0},
        "live": {"baked_s": 3.0, "spent_s": 4.0, "replicas": [
            {"job": "wk-91", "index": 0, "version": "v2", "standing": "running", "ready": true, "failures": 1,
                "host": "10.0.0.1", "zone": "a", "last": ["failed: status 500", 0.4]}]}});
    for (width, height) in [(140, 14), (20, 5), (1, 1)] {
        let mut terminal = Terminal::new(TestBackend::new(width, height)).unwrap();
        terminal.draw(|frame| draw(frame, &body)).unwrap();
        if width == 140 {
            let screen = terminal.backend().to_string();
            assert!(screen.contains("step 2 of 3: 3 of 6 s well"), "{screen}");
            assert!(screen.contains("failed: status 500 (0.4 s ago)"), "{screen}");
        }
    }
}
