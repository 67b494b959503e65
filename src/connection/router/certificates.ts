/** The peers' certificates: read from files, and read again when the files' content changes. */
import { readFileSync } from "node:fs";
import { createSecureContext } from "node:tls";
import type { ManagedComponent } from "../../common/life-cycle.js";
import type { Logger } from "../../common/logger.js";
import { CertificateError } from "../../errors/index.js";

const defaultPollMilliseconds = 10_000;

export interface CertificateFiles {
    readonly certificateFile: string;
    readonly keyFile: string;
    /** Authorities that the other side's certificate must come from. */
    readonly authorityFile: string;
}

/** PEM text of one generation of certificates. */
export interface Certificates {
    readonly cert: string;
    readonly key: string;
    readonly ca: string;
}

export class CertificateSource implements ManagedComponent {
    readonly name = "peer certificates";
    private loaded: Certificates;
    private timer: ReturnType<typeof setInterval> | undefined;
    private readonly listeners = new Set<(certificates: Certificates) => void>();

    /** Throws a CertificateError if the files cannot be used. */
    constructor(
        private readonly files: CertificateFiles,
        private readonly logger: Logger,
        private readonly pollMilliseconds = defaultPollMilliseconds,
    ) {
        this.loaded = read(files);
    }

    get current(): Certificates {
        return this.loaded;
    }

    onChange(listener: (certificates: Certificates) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    async start(): Promise<void> {
        this.timer = setInterval(() => this.reload(), this.pollMilliseconds);
    }

    async stop(): Promise<void> {
        clearInterval(this.timer);
    }

    /** Reads the files again. Those in use stay if the new ones cannot be used, as when only one is replaced yet. */
    reload(): void {
        let certificates: Certificates;
        try {
            certificates = read(this.files);
        }
        catch (error) {
            this.logger.error("the peers' certificates cannot be read again", { error: String(error) });
            return;
        }
        const { cert, key, ca } = this.loaded;
        if (certificates.cert !== cert || certificates.key !== key || certificates.ca !== ca) {
            this.loaded = certificates;
            this.logger.info("the peers' certificates were read again");
            for (const listener of this.listeners) {
                listener(certificates);
            }
        }
    }
}

function read(files: CertificateFiles): Certificates {
    try {
        const certificates = {
            cert: readFileSync(files.certificateFile, "utf8"),
            key: readFileSync(files.keyFile, "utf8"),
            ca: readFileSync(files.authorityFile, "utf8"),
        };
        createSecureContext(certificates);
        return certificates;
    }
    catch (error) {
        throw new CertificateError(error);
    }
}
