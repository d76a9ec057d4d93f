"""Writes the settings files of a deployment. Usage: make_settings.py FOLDER..."""

import json
import os
import sys

from deployment import list_nodes, node_settings

for folder in sys.argv[1:]:
    with open(os.path.join(folder, "topology.json"), encoding="utf-8") as file:
        topology = json.load(file)
    nodes = list_nodes(topology)
    os.makedirs(os.path.join(folder, "settings"), exist_ok=True)
    for node in nodes:
        path = os.path.join(folder, "settings", node.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(node_settings(topology, nodes, node), file, indent=2)
            file.write("\n")
