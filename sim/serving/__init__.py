"""An emulator of model workers under a fleet's load: compares policies of placement in seconds, with paired seeds.

`workload` draws what clients ask for, `engine` plays the workers, `fleet` the edges and the scheduler, which call the
product's own decision functions, and `compare` measures policies against each other. `docs/decisions.md` tells by how much
its figures differ from those of whole days.
"""
