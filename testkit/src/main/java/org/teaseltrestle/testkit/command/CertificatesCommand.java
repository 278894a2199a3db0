package org.teaseltrestle.testkit.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.teaseltrestle.testkit.certificates.TestCertificateAuthority;

/** Writes test certificates, one for each common name, signed by a new certificate authority. */
@Command(name = "certificates", description = "Writes test certificates")
public final class CertificatesCommand implements Callable<Integer> {

  @Option(name = "--folder", description = "Folder to write to")
  @Required
  private String folder = "";

  @Arguments(description = "Common names, one certificate each")
  @Required
  private List<String> names = new ArrayList<>();

  @Override
  public Integer call() {
    TestCertificateAuthority authority = new TestCertificateAuthority("teaseltrestle-test");
    for (String name : names) {
      System.out.println(authority.issue(Path.of(folder), name).certificateFile());
    }
    return 0;
  }
}
