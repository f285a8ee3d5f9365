/**
 * `bramleyvane contract`: checks contracts before they are published, and explains them.
 */
import { readFileSync } from 'node:fs';
import type { Command } from 'commander';
import { checkContractText, type ContractCheckResult } from '../core';
import { describeContract } from '../decisions';
import { CliCommand, EXIT_CODE_HELP, EXIT_CODES } from './CliCommand';

function checkFile(file: string): ContractCheckResult {
  try {
    return checkContractText(readFileSync(file, 'utf8'));
  } catch (thrown) {
    const message = thrown instanceof Error ? thrown.message : String(thrown);
    return { accepted: false, faults: [{ path: '', message }] };
  }
}

/** @internal */
export class ContractCommand extends CliCommand {
  addTo(program: Command): void {
    const contract = program.command('contract').description('check and explain contracts');
    contract
      .command('check')
      .description('report every fault of the contracts in the files')
      .argument('<file...>', 'JSON files, one contract each')
      .addHelpText('after', EXIT_CODE_HELP)
      .action((files: ReadonlyArray<string>) => this.check(files));
    contract
      .command('explain')
      .description('say in plain words what a contract promises')
      .argument('<file>', 'JSON file with one contract')
      .addHelpText('after', EXIT_CODE_HELP)
      .action((file: string) => this.explain(file));
  }

  private check(files: ReadonlyArray<string>): void {
    files.forEach((file) => {
      const result = checkFile(file);
      if (result.accepted) this.print(`${file}: accepted`);
      else this.reportFaults(file, result);
    });
  }

  private explain(file: string): void {
    const result = checkFile(file);
    if (result.accepted) describeContract(result.contract).forEach((line) => this.print(line));
    else this.reportFaults(file, result);
  }

  private reportFaults(file: string, result: ContractCheckResult): void {
    if (result.accepted) return;
    result.faults.forEach(({ path, message }) =>
      this.printDiagnostic(`${file}: ${path || '(document)'}: ${message}`),
    );
    process.exitCode = EXIT_CODES.usage;
  }
}
