"""State machines and policies: plain functions without sockets, tasks or clocks."""
