//! The bench's program.

fn main() -> std::process::ExitCode {
    jayhollow::bench::run()
}
