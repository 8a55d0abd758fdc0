//! Log output: one line of key=value pairs for each event.

use std::io;

/// Starts the log on standard error.
///
/// A second call changes nothing, so that tests may start several daemons.
pub fn start(level: log::LevelFilter) {
    let config = simplelog::ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(log::LevelFilter::Off)
        .set_thread_level(log::LevelFilter::Off)
        .set_location_level(log::LevelFilter::Off)
        .add_filter_allow_str("jayhollow")
        .build();
    let _ = simplelog::WriteLogger::init(level, config, io::stderr());
}
