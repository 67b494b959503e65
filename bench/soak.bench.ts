/**
 * A soak on loopback: 15 routers, 40 backend servers, chats and bookings, and faults in an order that a seed gives.
 * At the end every request is accounted for against the stand-ins' own records. POMELOSTALL_SEED picks another seed.
 */
import { readFile } from "node:fs/promises";
import { delay } from "../src/common/clock.js";
import { type RandomSource, SeededRandom, shuffle } from "../src/common/random.js";
import { StandInFleet } from "../src/stand-ins/fleet/stand-in-fleet.js";
import { Availability } from "../src/stand-ins/platform/index.js";
import { ServiceFault } from "../src/stand-ins/service/index.js";
import { previewConfiguration } from "../src/version/sheet/index.js";
import { atLeast, atMost, type Benchmark, type Figure } from "./figures.js";
import { account } from "./soak/accounting.js";
import { Callers } from "./soak/callers.js";
import { FleetOfRouters, pushSheet } from "./support/fleet-of-routers.js";

const routerTotal = 15;
const backendServerTotal = 40;
const defaultSeed = 20261204;
const settleMilliseconds = 3_000;
const phaseMilliseconds = 2_500;
const chatIntervalMilliseconds = 60;
const bookingIntervalMilliseconds = 250;
const engineSpeedFactor = 4;
const serviceFaultShare = 0.05;
const platformOutageMilliseconds = 2_000;
const leastWholeShare = 0.9;
const locations = ["kewdale", "malaga", "bibra-lake"].map(availabilityZone => ({ region: "perth", availabilityZone }));

/** Everything that runs in one soak. */
class Soak {
    readonly routers: FleetOfRouters;
    readonly callers: Callers;
    private readonly outstanding = new Set<Promise<void>>();
    private dead = 0;

    constructor(
        readonly standIns: StandInFleet,
        private readonly sheet: string,
        private readonly random: RandomSource,
    ) {
        this.routers = new FleetOfRouters(standIns, locations);
        this.callers = new Callers(this.routers.running, random);
    }

    /** The faults, each once; the seed gives their order and places. */
    faults(): (() => Promise<void>)[] {
        return shuffle(this.random, [
            async () => this.killBackendServer(),
            async () => this.killBackendServer(),
            async () => this.freezeConnections(),
            async () => this.freezeConnections(),
            () => this.interruptPlatform(),
            () => this.replaceRouter(),
            () => this.replaceRouter(),
            () => this.pushTwice(),
            () => this.pushTwice(),
        ]);
    }

    track(work: Promise<void>): void {
        const tracked = work.finally(() => this.outstanding.delete(tracked));
        this.outstanding.add(tracked);
    }

    async untilAnswered(): Promise<void> {
        await Promise.all(this.outstanding);
    }

    private killBackendServer(): void {
        this.standIns.backendServers[(this.dead++ * 7) % this.standIns.backendServers.length]!.server.die();
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

    /** Two operators push at the same moment; at most one of them wins each version. */
    private async pushTwice(): Promise<void> {
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
        await Promise.all([fault(), delay(phaseMilliseconds)]);
    }
    clearInterval(chats);
    clearInterval(bookings);
    await soak.untilAnswered();
    await soak.routers.stopAll();
}

function zero(name: string, value: number): Figure {
    return { bench: "soak", figure: name, value, unit: "requests", bound: atMost(0) };
}

export const benchmark: Benchmark = {
    name: "soak",
    async run() {
        const seed = Number(process.env["POMELOSTALL_SEED"] ?? defaultSeed);
        const soak = await start(seed);
        await runSoak(soak);
        const { callers, routers, standIns } = soak;
        const found = account(callers.chats, callers.bookings, standIns, [...routers.running, ...routers.stopped]);
        await standIns.stop();
        await callers.close();
        const whole = callers.chats.filter(chat => chat.status === 200).length;
        const answered = callers.chats.length + callers.bookings.length;
        reportFailures(callers);
        return [
            { bench: "soak", figure: "requests sent", value: callers.started, unit: "requests" },
            {
                bench: "soak",
                figure: "bookings confirmed",
                value: callers.bookings.filter(each => each.status === 201).length,
                unit: "requests",
            },
            {
                bench: "soak",
                figure: "share of chats answered whole",
                value: whole / callers.chats.length,
                unit: "share",
                bound: atLeast(leastWholeShare),
            },
            zero("requests without any answer", callers.started - answered),
            zero("answers that were wrong, cut or crossed", found.wrongAnswers),
            zero("chats reported as unknown", found.unknownChats),
            zero("requests reported as not run that ran", found.falseNotRun),
            zero("bookings run more than once", found.bookingsRunTwice),
            zero("bookings confirmed that did not run", found.lostBookings),
            zero("versions that went back", found.revertedVersions),
        ];
    },
};

/** Tells on standard error how requests failed, by code. */
function reportFailures(callers: Callers): void {
    const counts = new Map<string, number>();
    for (const { code, outcome } of [...callers.chats, ...callers.bookings]) {
        if (code !== undefined) {
            const name = `${code} (${outcome ?? "no outcome"})`;
            counts.set(name, (counts.get(name) ?? 0) + 1);
        }
    }
    process.stderr.write(`failures by code: ${JSON.stringify(Object.fromEntries(counts))}\n`);
}
