/** Runs the project's router as a process of its own, as the deploy file says, on a loopback address. */
import { spawn } from "node:child_process";
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

const root = new URL("../..", import.meta.url).pathname;
const settingsTemplate = join(root, "deploy/router-settings.jsonc");
const deployFile = join(root, "deploy/system.toml");

/** Bounds of the two small deployments. */
export const bounds = {
    drain_ms: 2_000,
    grace_s: 8,
    config_apply_ms: 2_000,
    retry_budget_ratio: 0.2,
    budget_window_s: 10,
    retry_budget_extra: 424,
    stall_ms: 3_000,
};

export class RouterFleet {
    #folder = mkdtempSync(join(tmpdir(), "review-2-"));
    #routers = [];
    #network = `127.${1 + Math.floor(Math.random() * 250)}.${1 + Math.floor(Math.random() * 250)}`;

    constructor(storeAddress) {
        this.storeAddress = storeAddress;
        // Also if this process ends by an error.
        process.on("exit", () => this.#routers.forEach(router => router.running && router.signal("SIGKILL")));
    }

    /** Starts a router in the zone; resolves at once. */
    async add(name, zone) {
        const ip = `${this.#network}.${this.#routers.length + 1}`;
        const [front, ready, control] = await freePorts(ip, 3);
        const router = new Router(this.#folder, { name, zone, ip, front, ready, control, store: this.storeAddress });
        this.#routers.push(router);
        router.contacts = () => this.#routers.slice(0, 3).map(({ fields }) => `${fields.ip}:${fields.control}`);
        return router;
    }

    /** Kills all processes and removes the folder. */
    async stop() {
        await Promise.all(this.#routers.map(router => router.kill()));
        rmSync(this.#folder, { recursive: true, force: true });
    }
}

class Router {
    process;
    exited;

    constructor(folder, fields) {
        this.folder = folder;
        this.fields = fields;
        this.name = fields.name;
        this.front = { host: fields.ip, port: fields.front };
        this.logFile = join(folder, `${fields.name}.out`);
    }

    start() {
        const { name, zone, ip, front, ready, control, store } = this.fields;
        const settings = join(this.folder, `${name}.jsonc`);
        const values = {
            node_name: name,
            zone,
            region: "ng-north",
            ip,
            listen: { front: `${ip}:${front}`, ready_addr: `${ip}:${ready}`, control: `${ip}:${control}` },
            seeds: this.contacts(),
            platform: { address: store, ttl_min_ms: 1_000 },
            limits: { max_fds: 2_118, memory_mb: 272 },
            bounds,
        };
        writeFileSync(settings, fillTemplate(readFileSync(settingsTemplate, "utf8"), values));
        const [program, ...words] = /^run = "(.*)"$/m.exec(readFileSync(deployFile, "utf8"))[1].split(" ");
        const output = openSync(this.logFile, "a");
        this.process = spawn(program, words, {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, POMELOSTALL_SETTINGS: settings },
            stdio: ["ignore", output, output],
        });
        this.exited = new Promise(resolve => this.process.once("exit", resolve));
    }

    signal(name) {
        this.process.kill(name);
    }

    async kill() {
        if (this.process !== undefined && this.process.exitCode === null && this.process.signalCode === null) {
            this.process.kill("SIGKILL");
            await this.exited;
        }
    }

    get running() {
        return this.process !== undefined && this.process.exitCode === null && this.process.signalCode === null;
    }

    /** Whether the router answers the platform's question within a second. */
    isReady() {
        return new Promise(resolve => {
            const { ip, ready } = this.fields;
            const asked = request({ host: ip, port: ready, path: "/ready", agent: false, timeout: 1_000 }, response => {
                response.resume();
                resolve(response.statusCode === 200);
            });
            asked.on("timeout", () => asked.destroy());
            asked.on("error", () => resolve(false));
            asked.end();
        });
    }

    async waitUntilReady(milliseconds = 15_000) {
        for (const end = performance.now() + milliseconds; performance.now() < end;) {
            if (await this.isReady()) {
                return;
            }
            await new Promise(resolve => setTimeout(resolve, 100));
        }
        throw new Error(`${this.name} is not ready after ${milliseconds} ms`);
    }

    get log() {
        return readFileSync(this.logFile, "utf8");
    }
}

/** Fills `{{a.b}}` and `{{a.b|json}}`, the only placeholders of the project's template. */
function fillTemplate(template, values) {
    return template.replace(/\{\{([a-z_.]+)(\|json)?\}\}/g, (_text, path, json) => {
        const value = path.split(".").reduce((table, name) => table?.[name], values);
        return json === undefined ? String(value ?? "") : JSON.stringify(value);
    });
}

async function freePorts(host, count) {
    const servers = await Promise.all(Array.from({ length: count }, () =>
        new Promise((resolve, reject) => {
            const server = createServer();
            server.on("error", reject);
            server.listen(0, host, () => resolve(server));
        })));
    const ports = servers.map(server => server.address().port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}
