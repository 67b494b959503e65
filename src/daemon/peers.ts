/** The parts that talk to other routers. */
import type { LifeCycle } from "../common/life-cycle.js";
import type { Logger } from "../common/logger.js";
import type { Metrics } from "../common/metrics.js";
import type { RandomSource } from "../common/random.js";
import {
    type BookingHandler,
    CertificateSource,
    PeerClient,
    PeerLedger,
    PeerServer,
} from "../connection/router/index.js";
import type { VmList } from "../domain/platform.js";
import { Membership, PeerVersions } from "../process/membership/index.js";
import type { RouterSettings } from "../process/settings/schema.js";

export interface PeerPartsOptions {
    readonly settings: RouterSettings;
    readonly vmList: VmList;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

export class PeerParts {
    readonly membership: Membership;
    readonly versions: PeerVersions;
    readonly ledger: PeerLedger;

    private constructor(
        private readonly certificates: CertificateSource | undefined,
        private readonly server: PeerServer,
        private readonly client: PeerClient,
        options: PeerPartsOptions,
    ) {
        const { settings, logger, vmList, random, metrics } = options;
        const { id, region, availabilityZone } = settings.router;
        this.membership = new Membership(
            { id, address: server.address, location: { region, availabilityZone }, seeds: settings.peers.seeds },
            { transport: client, vmList, random, logger: logger.withLabel("membership"), metrics },
        );
        this.versions = new PeerVersions(this.membership, client);
        this.ledger = new PeerLedger(this.membership, client);
    }

    /** Listens first, since a router tells its peers the address it listens at. */
    static async listen(options: PeerPartsOptions): Promise<PeerParts> {
        const { host, port, tls } = options.settings.peers;
        const certificates = tls === undefined
            ? undefined
            : new CertificateSource(tls, options.logger.withLabel("certificates"));
        const server = new PeerServer({ host, port, certificates });
        await server.start();
        return new PeerParts(certificates, server, new PeerClient(certificates), options);
    }

    /** Sets who carries out operations of the booking ledger that other routers hand over. */
    serveBookings(handler: BookingHandler): void {
        this.server.setBookingHandler(handler);
    }

    /** Adds everything in the order of starting. */
    addTo(lifeCycle: LifeCycle): void {
        if (this.certificates !== undefined) {
            lifeCycle.add(this.certificates);
        }
        lifeCycle.add({
            name: this.server.name,
            start: async () => this.server.serve(this.membership),
            stop: () => this.server.stop(),
        });
        lifeCycle.add(this.client);
        lifeCycle.add(this.membership);
    }
}
