/**
 * A small deployment on loopback: routers, started with the command of the deploy file and with settings from its template, before a
 * stand-in store. Each router has an address of its own.
 */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Store } from "./store.mjs";

export const pause = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds));

/** Bounds of saltline's sheet. */
export const bounds = {
    drain_ms: 2_000,
    grace_s: 8,
    config_apply_ms: 2_000,
    contact_ms: 3_000,
    retry_budget_ratio: 0.2,
    budget_window_s: 10,
    retry_budget_extra: 424,
    stall_ms: 3_000,
};

/** Fills in `{{a.b}}` and `{{a.b|json}}`, as the platform does. */
function render(template, fields) {
    return template.replaceAll(/\{\{([\w.]+)(\|json)?\}\}/g, (_match, path, json) => {
        const value = path.split(".").reduce((table, key) => table?.[key], fields);
        return json === undefined ? String(value ?? "") : JSON.stringify(value);
    });
}

function deployedCommand() {
    const [program, ...words] = /^run = "(.*)"$/m.exec(readFileSync("deploy/system.toml", "utf8"))[1].split(" ");
    return { program: program === "node" ? process.execPath : program, words };
}

/** A port that is free now at the address. */
export async function freePort(host) {
    const server = createServer();
    await new Promise(resolve => server.listen(0, host, resolve));
    const { port } = server.address();
    await new Promise(resolve => server.close(resolve));
    return port;
}

/** An address of the loopback network that other runs hardly use. */
const network = `127.${60 + Math.floor(150 * Math.random())}.${Math.floor(250 * Math.random())}`;
let hosts = 10;
export const nextHost = () => `${network}.${hosts++}`;

export class Router {
    output = "";
    ends = [];
    child;

    constructor(name, host, ports, door, settingsFile) {
        Object.assign(this, { name, host, door, settingsFile });
        this.callers = { host, port: ports.front };
        this.readiness = { host, port: ports.ready };
    }

    start() {
        const { program, words } = deployedCommand();
        const child = spawn(program, words, {
            env: { PATH: process.env.PATH, HOME: process.env.HOME, POMELOSTALL_SETTINGS: this.settingsFile },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const keep = chunk => {
            this.output = (this.output + chunk).slice(-4_000_000);
        };
        child.stdout.on("data", keep);
        child.stderr.on("data", keep);
        child.on("exit", (code, signal) => this.ends.push({ code, signal }));
        this.child = child;
    }

    get isRunning() {
        return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null;
    }

    signal(name) {
        this.child.kill(name);
    }

    async kill() {
        if (this.isRunning) {
            const ended = new Promise(resolve => this.child.once("exit", resolve));
            this.child.kill("SIGKILL");
            await ended;
        }
    }

    /** Log lines whose message is the given one. */
    logged(message) {
        return this.output.split("\n").filter(line => line.includes(`"message":"${message}`));
    }

    async isReady() {
        return await ask(this.readiness, "GET", "/ready") === 200;
    }
}

export class Deployment {
    store = new Store();
    routers = [];
    folder = mkdtempSync(join(tmpdir(), "review-"));

    async addRouter(name, zone, changes = {}) {
        const host = nextHost();
        const ports = { front: await freePort(host), ready: await freePort(host), control: await freePort(host) };
        const door = await this.store.open();
        const fields = {
            node_name: name,
            zone,
            region: "land",
            ip: host,
            bootstrap: true,
            listen: {
                front: `${host}:${ports.front}`,
                ready_addr: `${host}:${ports.ready}`,
                control: `${host}:${ports.control}`,
            },
            seeds: this.routers.slice(0, 3).map(router => router.control),
            platform: { address: door.address, ttl_min_ms: 1_000 },
            limits: { max_fds: 2_118, memory_mb: 272 },
            bounds: { ...bounds, ...changes.bounds },
        };
        const settingsFile = join(this.folder, `${name}.jsonc`);
        writeFileSync(settingsFile, render(readFileSync("deploy/router-settings.jsonc", "utf8"), fields));
        const router = new Router(name, host, ports, door, settingsFile);
        router.control = fields.listen.control;
        this.routers.push(router);
        return router;
    }

    async start() {
        this.routers.forEach(router => router.start());
    }

    async waitUntilReady(milliseconds) {
        const until = Date.now() + milliseconds;
        for (const router of this.routers) {
            while (!await router.isReady()) {
                if (Date.now() > until || !router.isRunning) {
                    throw new Error(`${router.name} is not ready: ${router.output.slice(-2_000)}`);
                }
                await pause(50);
            }
        }
    }

    async stop() {
        await Promise.all(this.routers.map(router => router.kill()));
        this.store.stop();
        rmSync(this.folder, { recursive: true, force: true });
    }
}

/** Resolves to the status; 0 if there was no complete answer. */
export function ask({ host, port }, method, path, headers = {}) {
    return new Promise(resolve => {
        const sent = request({ host, port, method, path, headers, agent: false }, response => {
            response.on("error", () => resolve(0));
            response.on("end", () => resolve(response.complete ? response.statusCode : 0));
            response.resume();
        });
        sent.on("error", () => resolve(0));
        sent.setTimeout(3_000, () => sent.destroy());
        sent.end();
    });
}
