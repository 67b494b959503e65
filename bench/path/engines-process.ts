/** Child process of the `path` benchmark with two backend servers; it sends their IDs and addresses to its parent. */
import { SeededRandom } from "../../src/common/random.js";
import { HttpStageNetwork, StandInBackendServer, WeightStore } from "../../src/stand-ins/backend-server/index.js";
import { backendServerClass, location, model } from "./fixture.js";
import type { EnginesReady } from "./messages.js";

const serverTotal = 2;
const firstServerNumber = Number(process.argv[2] ?? 0) * serverTotal;

const network = new HttpStageNetwork();
const servers = Array.from({ length: serverTotal }, (_unused, index) =>
    new StandInBackendServer({
        id: `server-${firstServerNumber + index}`,
        location,
        class: backendServerClass,
        holdings: [{
            model: model.name,
            modelVersion: model.version,
            layers: { first: 0, last: model.layerTotal - 1 },
            adapters: [],
        }],
    }, { network, weightStore: new WeightStore(1e9), random: new SeededRandom(firstServerNumber + 1) }));
for (const server of servers) {
    await server.start();
}
const ready: EnginesReady = {
    servers: servers.map(server => ({ id: server.engine.id, address: server.address })),
};
process.send?.(ready);
process.on("disconnect", () => process.exit(0));
