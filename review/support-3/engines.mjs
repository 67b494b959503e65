/** Runs stand-in engines as processes and keeps their entries in the store. */
import { fork } from "node:child_process";
import { fileURLToPath } from "node:url";
import { freePort, nextHost } from "./deployment.mjs";

const program = fileURLToPath(new URL("./engine.mjs", import.meta.url));
const heartbeatMilliseconds = 1_200;
const missedHeartbeats = 3;

export class Engine {
    /** Starts of this machine's process; each has an ID of its own. */
    boots = 0;
    isAlive = false;
    layers;

    constructor(fleet, name, zone, kind, port, host) {
        Object.assign(this, { fleet, name, zone, kind, port, host });
    }

    get id() {
        return `${this.name}-${this.boots}`;
    }

    start() {
        this.boots++;
        this.layers = undefined;
        const { fleet, id, host, port } = this;
        const options = { ...fleet.options, id, host, port };
        const child = fork(program, [JSON.stringify(options)], { stdio: ["ignore", "inherit", "inherit", "ipc"] });
        this.child = child;
        child.on("message", message => this.handle(message));
        child.on("exit", () => this.handleEnd(child, id));
    }

    /** Changes the engine's behavior while it runs. */
    turn(options) {
        this.child.send(options);
    }

    handle(message) {
        const { kind, layers, born } = message;
        if (kind === "started") {
            this.isAlive = true;
            this.born = born;
            this.write();
        }
        if (kind === "layers") {
            this.layers = layers;
            this.write();
        }
        if (kind === "crash") {
            this.isAlive = false;
        }
        this.fleet.record({ engine: this.name, ...message });
    }

    handleEnd(child, id) {
        this.isAlive = false;
        const { fleet } = this;
        setTimeout(() => fleet.store.remove(`servers/${id}`), missedHeartbeats * heartbeatMilliseconds);
        if (!fleet.stopping && child === this.child) {
            setTimeout(() => fleet.stopping || this.start(), fleet.restartMilliseconds);
        }
    }

    write() {
        const { fleet, id, host, port, zone, kind, layers, born } = this;
        fleet.store.put(`servers/${id}`, {
            service: fleet.service,
            address: `${host}:${port}`,
            zone,
            version: "v1",
            slots: 134,
            state: "ready",
            warmup_left_ms: 0,
            stage: "mixed",
            models: [{ name: "m", version: 1, adapters: [] }],
            seq: 1,
            born,
            kind,
            ...(layers === undefined ? {} : { layers: { ...layers, version: 1 } }),
        });
    }
}

export class EngineFleet {
    engines = [];
    stopping = false;

    /** `record` receives what the engines tell. */
    constructor(store, service, options, restartMilliseconds, record) {
        Object.assign(this, { store, service, options, restartMilliseconds, record });
    }

    async add(name, zone, kind) {
        const host = nextHost();
        const engine = new Engine(this, name, zone, kind, await freePort(host), host);
        this.engines.push(engine);
        return engine;
    }

    start() {
        this.engines.forEach(engine => engine.start());
    }

    stop() {
        this.stopping = true;
        this.engines.forEach(({ child }) => child?.kill("SIGKILL"));
    }
}
