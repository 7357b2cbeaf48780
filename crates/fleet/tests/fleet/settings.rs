//! Validation of the settings file.

use comfreyhold_fleet::settings::FleetSettings;
use std::time::Duration;

const VALID: &str = "
instance: entry-1
domain: a
ip: 10.0.0.1
exchange_port: 7700
seeds: [\"10.0.0.2:80\", \"10.0.1.2:80\"]
announce_interval_ms: 1000
tolerate:
  instances: 1
bounds:
  stop_s: 6
";

/// Guards against connections to the seeds at the port for operators.
#[test]
fn seeds_are_reached_at_the_exchange_port() {
    let settings = FleetSettings::parse(VALID).unwrap();
    let seeds: Vec<String> =
        settings.seed_exchange_addresses().iter().map(ToString::to_string).collect();
    assert_eq!(seeds, ["10.0.0.2:7700", "10.0.1.2:7700"]);
}

/// Guards against a process that is killed because its graceful stop takes longer than `bounds.stop_s`.
#[test]
fn the_stop_time_is_at_most_half_of_the_bound() {
    let settings = FleetSettings::parse(VALID).unwrap();
    assert_eq!(settings.stop_time(Duration::from_secs(1)), Duration::from_secs(1));
    assert_eq!(settings.stop_time(Duration::from_secs(60)), Duration::from_secs(3));
}

/// Guards against a daemon that starts with invalid or unknown settings.
#[test]
fn invalid_settings_are_rejected_by_field() {
    let cases = [
        ("instance: entry-1", "instance: \"\"", "instance"),
        ("domain: a", "domain: \"\"", "domain"),
        ("exchange_port: 7700", "exchange_port: 0", "exchange_port"),
        ("exchange_port: 7700", "exchange_port: 70000", "exchange_port"),
        ("ip: 10.0.0.1", "ip: ten", "ip"),
        ("seeds: [\"10.0.0.2:80\", \"10.0.1.2:80\"]", "seeds: []", "seeds"),
        ("announce_interval_ms: 1000", "announce_interval_ms: 0", "announce_interval_ms"),
        ("instances: 1", "instances: 5", "tolerate.instances"),
        ("stop_s: 6", "stop_s: 0", "bounds.stop_s"),
        ("domain: a", "domain: a\ncolour: red", "colour"),
        ("ip: 10.0.0.1", "", "ip"),
    ];
    for (valid, invalid, field) in cases {
        let text = VALID.replace(valid, invalid);
        assert_ne!(text, VALID);
        let error = format!("{:#}", FleetSettings::parse(&text).unwrap_err());
        assert!(error.contains(field), "{invalid}: {error}");
    }
}
