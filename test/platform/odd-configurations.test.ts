import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { decodeConfiguration } from "../../platform/decode-configuration.js";
import { SilentLogger } from "../../src/common/logger.js";
import { SeededRandom } from "../../src/common/random.js";
import type { EngineProfile, GatewayConfiguration } from "../../src/domain/gateway/configuration.js";
import { MalformedConfigurationError } from "../../src/errors/index.js";
import { ExtrapolatedLoad } from "../../src/process/gateway/fleet-load.js";
import { HalfCopyStandby } from "../../src/process/gateway/layer-placement/standby-servers.js";
import { LocalServerLoad } from "../../src/process/gateway/local-server-load.js";
import { ServerExclusions } from "../../src/process/gateway/server-exclusions.js";
import { ServerRegistry } from "../../src/process/gateway/server-registry.js";
import { LayerPathChooser } from "../../src/request/gateway/layer-path-chooser.js";
import { CheapestLayerPathFinder } from "../../src/request/gateway/layer-path-finder.js";
import { serverEntry } from "../process/gateway/fixtures.js";
import { at } from "../support/store-positions.js";
import { configuration } from "./gateway-fixture.js";
import { oddJson, withOddValues } from "./odd-json.js";

type Json = Record<string | number, unknown>;

const longestTimerMilliseconds = 2_147_483_647;
const decode = (text: string): GatewayConfiguration => decodeConfiguration(Buffer.from(text));

/** The sound configuration with the value at the path replaced, as JSON text. */
function withValue(path: string, value: unknown): string {
    const root = structuredClone(configuration(1)) as Json;
    const keys = path.split(".");
    const parent = keys.slice(0, -1).reduce((node, key) => node[key] as Json, root);
    parent[keys.at(-1)!] = value;
    return JSON.stringify(root).replaceAll('"HUGE"', "1e999");
}

describe("a configuration", () => {
    test.each([
        ["version", -1],
        ["version", 1.5],
        ["version", "HUGE"],
        ["routes.0.timeout_ms", 0],
        ["routes.0.timeout_ms", -1],
        ["routes.0.timeout_ms", longestTimerMilliseconds + 1],
        ["routes.0.target_latency_ms", -1],
        ["routes.0.target_latency_ms", 1e11],
        ["routes.2.gap_aim_ms", -1],
        ["routes.2.gap_aim_ms", 1e11],
        ["routes.0.max_attempts", 0],
        ["routes.0.max_attempts", 1.5],
        ["routes.0.priority", -1],
        ["routes.0.priority", 0.5],
        ["routes.0.traffic_split", [{ service: "app", weight: -1 }]],
        ["routes.0.traffic_split", [{ service: "app", weight: 1e308 }, { service: "pool", weight: 1e308 }]],
        ["limits.idle_timeout_ms", "HUGE"],
        ["limits.idle_timeout_ms", -5],
        ["limits.header_timeout_ms", -5],
        ["limits.max_header_bytes", -1],
        ["limits.max_body_bytes", -1],
        ["services.0.max_connections", -1],
        ["services.0.health_path", "/a b"],
        ["services.1.engine.layers", 0],
        ["services.1.engine.layers", 20.5],
        ["services.1.engine.layers", 1e10],
        ["services.1.engine.slots", 0],
        ["services.1.engine.layer_mb", 0],
        ["services.1.engine.layer_mb", 5e-324],
        ["services.1.engine.step_ms", -1],
        ["services.1.engine.read_per_s", 0],
        ["services.1.engine.models.0.load_s", -1],
        ["services.1.engine.usual.answer", -1],
        ["services.1.engine.kinds.0.pace", -1],
        ["services.1.engine.kinds.0.mb", 1e308],
        ["tenants.0.priority", -1],
        ["tenants.0.name", "a\nb"],
        ["tenants.0.name", "\u0100"],
    ])("whose %s is %p is malformed", (path, value) => {
        expect(() => decode(withValue(path, value))).toThrow(MalformedConfigurationError);
    });

    test("with zero where nothing is divided by it is sound", () => {
        const zeros: [string, unknown][] = [
            ["routes.2.gap_aim_ms", 0],
            ["limits.max_body_bytes", 0],
            ["services.1.engine.pipe_mbps", 0],
            ["services.1.engine.per_seq_ms", 0],
        ];
        zeros.forEach(([path, value]) => expect(decode(withValue(path, value)).version).toBe(1));
        expect(decode(withValue("routes.2.gap_aim_ms", 0)).routes[2]!.maximumEventGapMilliseconds).toBeUndefined();
    });
});

function expectInRange({ version, routes, limits, services }: GatewayConfiguration): void {
    expect(Number.isSafeInteger(version)).toBe(true);
    for (const { timeoutMilliseconds, maximumAttempts, priority, shares } of routes) {
        expect(timeoutMilliseconds > 0 && timeoutMilliseconds <= longestTimerMilliseconds).toBe(true);
        expect(maximumAttempts >= 1 && priority >= 0).toBe(true);
        expect(shares.every(({ weight }) => weight >= 0 && Number.isFinite(weight))).toBe(true);
    }
    const { headerTimeoutMilliseconds, idleTimeoutMilliseconds } = limits;
    expect(Math.min(headerTimeoutMilliseconds, idleTimeoutMilliseconds)).toBeGreaterThan(0);
    expect(Math.max(headerTimeoutMilliseconds, idleTimeoutMilliseconds)).toBeLessThanOrEqual(longestTimerMilliseconds);
    services.forEach(({ engine }) => engine === undefined || expectUsable(engine));
}

/** A path over engines that hold all layers has a finite cost, unless their memory has no room for requests. */
function expectUsable(engine: EngineProfile): void {
    const registry = new ServerRegistry(1_000, new SilentLogger());
    const kind = [...engine.kinds.keys()][0];
    registry.put(serverEntry("a", { kind, layers: { first: 0, last: engine.layerCount - 1 } }), at(1));
    const chooser = new LayerPathChooser(
        registry,
        new ExtrapolatedLoad(new LocalServerLoad(), () => 1),
        new ServerExclusions(new SilentLogger()),
        new CheapestLayerPathFinder(new SeededRandom(1)),
        new HalfCopyStandby(),
        { homeZone: "north", leavingUseMilliseconds: 500 },
    );
    const size = { promptTokens: engine.typicalPromptTokens, outputTokens: engine.typicalOutputTokens };
    const path = chooser.choose("pool", engine, size, new Set());
    expect(path === undefined || Number.isFinite(path.cost)).toBe(true);
    expect(chooser.expectedWaitMilliseconds("pool", engine, size)).not.toBeNaN();
}

test("whatever is published, a configuration is in range or malformed, and nothing else is thrown", () => {
    fc.assert(
        fc.property(fc.oneof(withOddValues(configuration(1)), oddJson), text => {
            let decoded: GatewayConfiguration;
            try {
                decoded = decode(text);
            }
            catch (error) {
                expect(error).toBeInstanceOf(MalformedConfigurationError);
                return;
            }
            expectInRange(decoded);
        }),
        { seed: 7, numRuns: 1_000 },
    );
});
