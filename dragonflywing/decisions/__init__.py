"""State machines and policies: functions without I/O, tasks or clocks."""
