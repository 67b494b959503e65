import { beforeEach, expect, jest, test } from "@jest/globals";
import { platformDialect } from "../../../platform/dialect.js";
import { SilentMetrics } from "../../../src/common/metrics.js";
import { SeededRandom } from "../../../src/common/random.js";
import { HttpServerControl } from "../../../src/connection/gateway/http-server-control.js";
import { PeerClient } from "../../../src/connection/gateway/peer-client.js";
import { TcpReachabilityCheck } from "../../../src/connection/gateway/reachability.js";
import { ConnectionFailedError, PeerUnreachableError } from "../../../src/errors/index.js";
import { serverEntry } from "../../process/gateway/fixtures.js";
import { failures } from "../../support/failures.js";

beforeEach(() => void jest.useRealTimers());

const address = { host: "127.0.0.1", port: 99_999 };
const server = serverEntry("odd", { address });

test("a server at a port out of range is unreachable, and the check does not reject", async () => {
    const unreachable = await new TcpReachabilityCheck({
        knownServers: () => [],
        random: new SeededRandom(1),
        metrics: new SilentMetrics(),
        failures,
    }).findUnreachable([server]);
    expect(unreachable.map(({ id }) => id)).toEqual(["odd"]);
});

test("a report, a health check and an order to a port out of range reject with a connection failure", async () => {
    const control = new HttpServerControl(platformDialect, { responseReceived: () => undefined }, failures);
    await expect(control.readReport(server)).rejects.toBeInstanceOf(ConnectionFailedError);
    await expect(control.isHealthy(server, "/health")).rejects.toBeInstanceOf(ConnectionFailedError);
    await expect(control.placeLayers(server, { first: 0, last: 1 }, 0)).rejects.toBeInstanceOf(ConnectionFailedError);
});

test("a call to a router at a port out of range rejects as unreachable", async () => {
    const call = new PeerClient(failures).send(address, { method: "GET", path: "/", timeoutMilliseconds: 100 });
    await expect(call).rejects.toBeInstanceOf(PeerUnreachableError);
});
