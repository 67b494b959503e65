/**
 * Soak test on loopback: 15 routers and 40 backend servers serve chats and bookings while faults are injected. The seed
 * determines the order of the faults and the backend servers whose connections freeze, among other things;
 * POMELOSTALL_SEED sets another seed. At the end, what the callers received is reconciled with the records of the
 * stand-ins.
 */
import { readFile } from "node:fs/promises";
import { delay } from "../src/common/clock.js";
import { type RandomSource, SeededRandom, shuffle } from "../src/common/random.js";
import { StandInFleet } from "../src/stand-ins/fleet/stand-in-fleet.js";
import { Availability } from "../src/stand-ins/platform/index.js";
import { ServiceFault } from "../src/stand-ins/service/index.js";
import { previewConfiguration } from "../src/version/sheet/index.js";
import { atLeast, atMost, type Benchmark, type Figure } from "./figures.js";
import { Callers } from "./soak/callers.js";
import { reconcile } from "./soak/reconciliation.js";
import { pushSheet, RouterFleet } from "./support/router-fleet.js";

const routerTotal = 15;
const backendServerTotal = 40;
const defaultSeed = 20261204;
const settleMilliseconds = 3_000;
const minimumFaultMilliseconds = 2_500;
const chatIntervalMilliseconds = 60;
const bookingIntervalMilliseconds = 250;
const engineSpeedFactor = 4;
const serviceFaultShare = 0.05;
const platformOutageMilliseconds = 2_000;
const minimumCompleteChatShare = 0.9;
const locations = ["kewdale", "malaga", "bibra-lake"].map(availabilityZone => ({ region: "perth", availabilityZone }));

/** The routers, callers and faults of one soak test. */
class Soak {
    readonly routers: RouterFleet;
    readonly callers: Callers;
    private readonly outstanding = new Set<Promise<void>>();
    private killedBackendServers = 0;

    constructor(
        readonly standIns: StandInFleet,
        private readonly sheet: string,
        private readonly random: RandomSource,
    ) {
        this.routers = new RouterFleet(standIns, locations);
        this.callers = new Callers(this.routers.running, random);
    }

    /** The faults to inject, shuffled by the seed. */
    faults(): (() => Promise<void>)[] {
        return shuffle(this.random, [
            async () => this.killBackendServer(),
            async () => this.killBackendServer(),
            async () => this.freezeConnections(),
            async () => this.freezeConnections(),
            () => this.interruptPlatform(),
            () => this.replaceRouter(),
            () => this.replaceRouter(),
            () => this.pushConcurrently(),
            () => this.pushConcurrently(),
        ]);
    }

    track(work: Promise<void>): void {
        const tracked = work.finally(() => this.outstanding.delete(tracked));
        this.outstanding.add(tracked);
    }

    async waitForOutstandingRequests(): Promise<void> {
        await Promise.all(this.outstanding);
    }

    private killBackendServer(): void {
        this.standIns.backendServers[(this.killedBackendServers++ * 7) % this.standIns.backendServers.length]!.server
            .die();
    }

    private freezeConnections(): void {
        const [first] = shuffle(this.random, this.standIns.backendServers);
        first!.server.freezeConnections();
    }

    private async interruptPlatform(): Promise<void> {
        this.standIns.platform.faults.availability = Availability.hanging;
        await delay(platformOutageMilliseconds);
        this.standIns.platform.faults.availability = Availability.up;
    }

    private async replaceRouter(): Promise<void> {
        await Promise.all([this.routers.remove(0), this.routers.add()]);
    }

    /** Two operators push at the same time; at most one push can succeed for each version. */
    private async pushConcurrently(): Promise<void> {
        await Promise.allSettled(
            ["first", "second"].map((author, index) =>
                pushSheet(
                    this.standIns,
                    this.sheet.replace("a truck waits", `${author} note ${index}: a truck waits`),
                    author,
                )
            ),
        );
    }
}

async function start(seed: number): Promise<Soak> {
    const sheet = await readFile("examples/haddow.csv", "utf8");
    const configuration = previewConfiguration(sheet);
    const random = new SeededRandom(seed);
    const standIns = new StandInFleet({
        configuration,
        locations,
        seed,
        backendServerTotal,
        speedFactor: engineSpeedFactor,
    });
    await standIns.start();
    await pushSheet(standIns, sheet, "planner");
    standIns.services.get("bookings")!.faults = () =>
        random.next() < serviceFaultShare ? ServiceFault.breakAfter : undefined;
    const soak = new Soak(standIns, sheet, random);
    while (soak.routers.running.length < routerTotal) {
        await soak.routers.add();
    }
    return soak;
}

async function runSoak(soak: Soak): Promise<void> {
    await delay(settleMilliseconds);
    const chats = setInterval(() => soak.track(soak.callers.chat()), chatIntervalMilliseconds);
    const bookings = setInterval(() => soak.track(soak.callers.book()), bookingIntervalMilliseconds);
    for (const fault of soak.faults()) {
        await Promise.all([fault(), delay(minimumFaultMilliseconds)]);
    }
    clearInterval(chats);
    clearInterval(bookings);
    await soak.waitForOutstandingRequests();
    await soak.routers.stopAll();
}

function createZeroBoundFigure(name: string, value: number): Figure {
    return { bench: "soak", figure: name, value, unit: "requests", bound: atMost(0) };
}

export const benchmark: Benchmark = {
    name: "soak",
    async run() {
        const seed = Number(process.env["POMELOSTALL_SEED"] ?? defaultSeed);
        const soak = await start(seed);
        await runSoak(soak);
        const { callers, routers, standIns } = soak;
        const reconciliation = reconcile(callers.chats, callers.bookings, standIns, [
            ...routers.running,
            ...routers.stopped,
        ]);
        await standIns.stop();
        await callers.close();
        const completeChats = callers.chats.filter(chat => chat.status === 200).length;
        const answered = callers.chats.length + callers.bookings.length;
        reportFailures(callers);
        return [
            { bench: "soak", figure: "requests sent", value: callers.requestCount, unit: "requests" },
            {
                bench: "soak",
                figure: "bookings confirmed",
                value: callers.bookings.filter(each => each.status === 201).length,
                unit: "requests",
            },
            {
                bench: "soak",
                figure: "share of chats answered whole",
                value: completeChats / callers.chats.length,
                unit: "share",
                bound: atLeast(minimumCompleteChatShare),
            },
            createZeroBoundFigure("requests without any answer", callers.requestCount - answered),
            createZeroBoundFigure("answers that were wrong, cut or crossed", reconciliation.wrongAnswers),
            createZeroBoundFigure("chats reported as unknown", reconciliation.unknownChats),
            createZeroBoundFigure("requests reported as not run that ran", reconciliation.falseNotRun),
            createZeroBoundFigure("bookings run more than once", reconciliation.bookingsRunTwice),
            createZeroBoundFigure("bookings confirmed that did not run", reconciliation.lostBookings),
            createZeroBoundFigure("versions that went back", reconciliation.revertedVersions),
        ];
    },
};

/** Writes the number of failed requests by error code and outcome to standard error. */
function reportFailures(callers: Callers): void {
    const counts = new Map<string, number>();
    for (const { code, outcome } of [...callers.chats, ...callers.bookings]) {
        if (code !== undefined) {
            const name = `${code} (${outcome ?? "no outcome"})`;
            counts.set(name, (counts.get(name) ?? 0) + 1);
        }
    }
    process.stderr.write(
        `soak: failed requests by error code and outcome: ${JSON.stringify(Object.fromEntries(counts))}\n`,
    );
}
